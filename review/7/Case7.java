import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Bad clients send hundreds of requests at once, of a class that doesn't exist; usual viewers go on all the while. */
public final class Case7 {
    private static final int CLIENTS = 80;
    private static final int REQUESTS_EACH = 200;
    private static final int DESCRIPTION_BYTES = 8000;
    private static final long WATCH_MS = 20_000;

    private Case7() {}

    public static void main(String[] args) throws Exception {
        Kit.main(Path.of(args[0]), Case7::run);
    }

    private static boolean run() throws Exception {
        var feed = new Kit.Feed();
        List<Kit.Host> hosts = new ArrayList<>();
        for (int slot = 0; slot < 3; slot++) hosts.add(new Kit.Host("s-" + slot, slot, 4000));
        feed.tell(true, hosts.get(0).entry("up"), hosts.get(1).entry("up"), hosts.get(2).entry("up"));
        var gateway = new Kit.Gateway("n0", feed, 256, 128, Kit.settings(3));
        var viewers = new Kit.Viewers("viewers", gateway);
        hosts.forEach(host -> host.lifeMs = 60_000);
        Kit.Request first = viewers.setUp("paid", "acme", "00000000000000a0", 0, 3, 2, 3000);
        Kit.require(Kit.await(3500, () -> first.answer != null), "the first viewer has no answer");
        Kit.require("served".equals(first.answer), "the first viewer is not served");
        hosts.forEach(host -> host.lifeMs = 2000);

        if (Kit.TROUBLE) flood(gateway);
        List<Kit.Request> usual = new ArrayList<>();
        long end = Kit.now() + WATCH_MS;
        while (Kit.now() < end && gateway.alive()) {
            try {
                usual.add(viewers.setUp("free", "acme", "00000000000000a0", 0, 3, 2, 2000));
            } catch (IOException e) {
                break;
            }
            Kit.sleep(250);
        }
        Kit.await(2500, () -> !gateway.alive() || usual.stream().allMatch(request -> request.answer != null));
        boolean crashed = !gateway.alive();
        long unanswered = usual.stream().filter(request -> request.answer == null).count();
        Kit.log("usual viewers asked " + usual.size() + " times, " + unanswered + " without an answer");
        if (crashed) {
            Kit.log("gateway n0 has ended by itself, exit code " + gateway.process.exitValue());
            Kit.log("output of n0: " + gateway.output().replace('\n', '|'));
        }
        return !crashed;
    }

    /** Each client has one connection, sends at full speed, and reads what is sent to it. */
    private static void flood(Kit.Gateway gateway) throws IOException {
        var random = new Random();
        var all = new ByteArrayOutputStream();
        List<byte[]> batches = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            all.reset();
            for (int i = 0; i < REQUESTS_EACH; i++) {
                long id = random.nextLong() | 1;
                all.writeBytes(Kit.message(
                        1,
                        id,
                        Kit.param(3, "no-such-class"),
                        Kit.param(4, "2000"),
                        Kit.param(5, "acme"),
                        Kit.param(7, "00000000000000a0"),
                        Kit.param(8, "home:0;copies:3;top:2;viewer:" + Kit.hex(id >>> 12)),
                        Kit.param(18, Kit.hex(id) + "\r\n" + "a=x\r\n".repeat(DESCRIPTION_BYTES / 5))));
            }
            batches.add(all.toByteArray());
        }
        Kit.log(CLIENTS + " bad clients send " + REQUESTS_EACH + " requests of an unknown class each, at once");
        for (byte[] batch : batches) {
            var socket = new Socket("127.0.0.1", gateway.port);
            Kit.run("bad client reads", () -> {
                byte[] buffer = new byte[65536];
                while (socket.getInputStream().read(buffer) >= 0) {
                    // all that is sent to it is read
                }
            });
            Kit.run("bad client writes", () -> socket.getOutputStream().write(batch));
        }
    }
}
