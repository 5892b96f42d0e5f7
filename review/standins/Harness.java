import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the gateway's process, its configuration, and waiting for conditions. */
final class Harness {
    private Harness() {}

    static void daemon(Runnable task) {
        var thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static String hex(long id) {
        return String.format("%016x", id);
    }

    static void sleepUntil(long unixMs) throws InterruptedException {
        long left = unixMs - System.currentTimeMillis();
        if (left > 0) Thread.sleep(left);
    }

    static boolean await(long ms, BooleanSupplier condition) throws InterruptedException {
        long end = System.currentTimeMillis() + ms;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > end) return false;
            Thread.sleep(2);
        }
        return true;
    }

    /** The settings of a small deployment of two gateways, after the example of the users' wire page. */
    static String settings(int hosts) {
        return "{\"accounts\":[{\"fraction\":0.53,\"name\":\"bwyd-cyflym\",\"quotaPerS\":20},{\"fraction\":0.47,\"name\":\"drws-nesa\",\"quotaPerS\":20}],"
                + "\"blend\":{\"whole\":0.5,\"worstClass\":0.2,\"worstTenant\":0.1,\"worstWindow\":0.2},"
                + "\"classes\":[{\"aim\":1500,\"deadline\":3000,\"dedupWindow\":5000,\"effect\":\"side_effect\",\"group\":\"all\",\"lateValue\":0,\"name\":\"induction\",\"streamed\":true,\"worth\":2},"
                + "{\"aim\":1000,\"deadline\":5000,\"dedupWindow\":5000,\"effect\":\"pure\",\"group\":\"all\",\"lateValue\":0,\"name\":\"zone-guide\",\"streamed\":true,\"worth\":1}],"
                + "\"clients\":{\"marksRetry\":false},\"discovery\":\"pushed\",\"domainType\":\"streams\",\"kinds\":[\"std-3core\"],\"locality\":\"cardiff-dc1\",\"me\":0,\"overShareWorth\":0.1,"
                + "\"policyLimits\":{\"cancel\":true,\"connIdle\":30000,\"connectTimeout\":250,\"cpuUsPerRequest\":0,\"cpuUsPerS\":400000,\"maxOpen\":1000000,\"maxRetryAfter\":2000,\"multiplex\":1048576,\"peerMessages\":false,\"probes\":true,\"retryAfter\":true,\"secondCopies\":false,\"sendCap\":5},"
                + "\"prices\":{\"connection\":0,\"crossZone\":0,\"discovery\":0,\"handshake\":0,\"lateFail\":0.05,\"moves\":0.2,\"origin\":0,\"peer\":0,\"probe\":0.01,\"waste\":0},"
                + "\"replicasOfMe\":2,\"report\":{\"fields\":[\"load_share\",\"x1\"],\"via\":\"pull\"},\"resolution\":10,"
                + "\"rules\":{\"askEvery\":10000,\"cold\":12000,\"coldShare\":0.4,\"drainGrace\":500,\"fall\":1000,\"graceToAnswer\":40,\"overloadFactor\":2},"
                + "\"specifics\":{\"classFloor\":[1,0],\"classSeats\":[7,0],\"classTop\":[4,3],\"groups\":1,\"guard\":1,\"isLive\":[false,false],\"joinAdds\":1,\"kindSlots\":[33],"
                + "\"ladderKb\":[283,481,816,1387,2357],\"levelWorth\":[0.22,0.44,0.64,0.82,1],\"linkUnitKb\":13238,\"linksKb\":"
                + 13238 * hosts + ",\"places\":" + hosts + ",\"rackLinkKb\":" + 11000 * hosts
                + ",\"rateFactor\":[1.2,1],\"see\":844.796,\"shortfallCost\":10,\"switchS\":0.72,\"toldEvery\":0},"
                + "\"stage\":0,\"tiers\":[\"media-fleet\"],\"weightKind\":\"silent\",\"worthBy\":\"request\",\"zones\":[\"cardiff-dc1\"]}";
    }

    /** One gateway in a process of its own, started by the deploy file's command 'run'. */
    static final class Gateway implements AutoCloseable {
        final int port;
        final Path config;
        private final Path root;
        private final Path folder;
        private final Rec rec;
        Process process;

        Gateway(Path root, Path folder, Rec rec) throws IOException {
            this.root = root;
            this.folder = folder;
            this.rec = rec;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                port = free.getLocalPort();
            }
            config = folder.resolve("config.json");
        }

        void configure(int sockets, int memoryMb, int feedPort, String known, String settings) throws IOException {
            Path next = folder.resolve("config.next");
            Files.writeString(
                    next,
                    "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                            + memoryMb + ",\"sockets\":" + sockets + "},\"feed\":\"127.0.0.1:" + feedPort + "\",\"known\":" + known
                            + ",\"settings\":" + settings + "}");
            Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        /** Starts it and waits until it has passed a test; returns whether it has. */
        boolean start() throws IOException, InterruptedException {
            Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) throw new IOException("no command 'run'");
            var builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
            builder.environment().put("NODE_NAME", "n0");
            builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            builder.redirectOutput(folder.resolve("gateway.out").toFile()).redirectErrorStream(true);
            process = builder.start();
            Process started = process;
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                started.destroyForcibly();
                try {
                    started.waitFor(5, TimeUnit.SECONDS);
                    deleteFolder(folder);
                } catch (IOException | InterruptedException e) {
                    // what is left is in the folder for temporary files
                }
            }));
            rec.line("gateway: process %d started, listens on 127.0.0.1:%d", process.pid(), port);
            long end = System.currentTimeMillis() + 30_000;
            while (System.currentTimeMillis() < end && process.isAlive()) {
                try (var probe = new Viewer("test", port, rec)) {
                    probe.test();
                    if (await(1000, () -> probe.testPassed >= 0)) {
                        rec.line("gateway: passed a test");
                        return true;
                    }
                } catch (IOException e) {
                    Thread.sleep(50);
                }
            }
            return false;
        }

        void signal(String name) throws IOException, InterruptedException {
            rec.line("gateway: signal %s", name);
            new ProcessBuilder("/bin/kill", "-" + name, Long.toString(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
        }

        long residentKb() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")))
                    if (line.startsWith("VmRSS:")) return Long.parseLong(line.replaceAll("[^0-9]", ""));
            } catch (IOException e) {
                // the process is gone
            }
            return -1;
        }

        /** The last lines of its log, for the record. */
        List<String> log(int lines) throws IOException {
            List<String> all = new ArrayList<>(Files.readAllLines(folder.resolve("gateway.out"), java.nio.charset.StandardCharsets.ISO_8859_1));
            return all.subList(Math.max(0, all.size() - lines), all.size());
        }

        @Override
        public void close() throws InterruptedException {
            if (process == null) return;
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }

    static void deleteFolder(Path folder) throws IOException {
        if (!Files.exists(folder)) return;
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
        }
    }
}
