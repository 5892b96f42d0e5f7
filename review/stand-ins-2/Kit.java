import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases of the second review share: a gateway started with the deploy file's command, and stand-ins for the
 * control feed, the media hosts, the network between a gateway and a media host, and the viewers. They speak the
 * platform's protocol over plain sockets on loopback and use nothing of the program's code.
 */
final class Kit {
    private Kit() {}

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    /** After this time media hosts close idle connections; the settings say so, too. */
    private static final long CONNECTION_IDLE_MS = 30_000;
    /** A case that has not ended by then could not be run. */
    private static final long WATCHDOG_MS = 112_000;

    private static final long startedAt = System.nanoTime();
    private static PrintWriter record;
    private static Path tempDir;
    private static final List<Process> processes = new CopyOnWriteArrayList<>();
    static final ScheduledExecutorService scheduler = scheduler();

    private static ScheduledExecutorService scheduler() {
        var executor = new ScheduledThreadPoolExecutor(2, task -> daemon(task, "scheduler"));
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }

    private static Thread daemon(Runnable task, String name) {
        var thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts a daemon thread; an I/O error ends it. */
    static void run(String name, Task task) {
        Thread thread = daemon(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // the other side closed, or the case is over
                    } catch (Exception e) {
                        log("stand-in " + name + " failed: " + e);
                    }
                },
                name);
        thread.start();
    }

    /** Work of a stand-in's thread. */
    interface Task {
        void run() throws Exception;
    }

    /** A case: returns whether the rule held. */
    interface Case {
        boolean run() throws Exception;
    }

    static long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    static synchronized void log(String line) {
        record.printf("%7d %s%n", now(), line);
        record.flush();
    }

    /** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(Path folder, Case body) throws Exception {
        try {
            record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
            tempDir = Files.createTempDirectory("trestleline-case");
        } catch (IOException e) {
            System.out.println("could not run: " + e);
            System.exit(2);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::cleanUp));
        daemon(
                        () -> {
                            sleep(WATCHDOG_MS);
                            log("RESULT could not run: not over in time");
                            System.exit(2);
                        },
                        "watchdog")
                .start();
        int code;
        try {
            log("disruption " + (TROUBLE ? "on" : "off"));
            boolean held = body.run();
            log("RESULT the rule " + (held ? "held" : "was broken"));
            code = held ? 0 : 1;
        } catch (Exception | Error e) {
            log("RESULT could not run: " + e);
            code = 2;
        }
        System.out.println(code == 0 ? "held" : code == 1 ? "broken" : "could not run");
        System.exit(code);
    }

    /** Ends a case that could not be set up. */
    static final class CouldNotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CouldNotRun(String message) {
            super(message);
        }
    }

    private static void cleanUp() {
        for (Process process : processes) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.walk(tempDir)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // nothing is left to delete
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until a condition holds; returns whether it did within the time. */
    static boolean await(long ms, BooleanSupplier condition) {
        long end = now() + ms;
        while (!condition.getAsBoolean()) {
            if (now() > end) return false;
            sleep(5);
        }
        return true;
    }

    static void require(boolean holds, String what) throws CouldNotRun {
        if (!holds) throw new CouldNotRun(what);
    }

    static String hexId(Random random) {
        return String.format("%016x", random.nextLong());
    }

    // Gateway

    /** One gateway, started as a process by the deploy file's {@code run}. */
    static final class Gateway {
        final String name;
        final int port;
        final Process process;

        /** Starts a gateway and waits until it passes a test. */
        Gateway(String name, Feed feed, int sockets, int memoryMb, String settings) throws Exception {
            this(name, feed, sockets, memoryMb, settings, "");
        }

        /** Starts a gateway in a shell that runs {@code before} first, such as {@code ulimit -n 256;}. */
        Gateway(String name, Feed feed, int sockets, int memoryMb, String settings, String before) throws Exception {
            this.name = name;
            try (var probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                port = probe.getLocalPort();
            }
            Path config = tempDir.resolve(name + ".json");
            String configText = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                    + "\",\"seed\":\"" + hexId(new Random()) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                    + ",\"sockets\":" + sockets + "},\"feed\":\"127.0.0.1:" + feed.port() + "\",\"known\":" + feed.known()
                    + ",\"settings\":" + settings + "}";
            Files.writeString(config, configText);
            Matcher matcher = Pattern.compile("(?m)^run = \"(.*?)\"")
                    .matcher(Files.readString(Path.of("deploy/balancer.toml")));
            require(matcher.find(), "no run line in deploy/balancer.toml");
            File log = tempDir.resolve(name + ".log").toFile();
            Path temp = Files.createDirectories(tempDir.resolve(name + ".tmp"));
            var builder = new ProcessBuilder("/bin/sh", "-c", before + matcher.group(1))
                    .redirectOutput(log)
                    .redirectErrorStream(true);
            builder.environment().put("NODE_NAME", name);
            builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temp.toString());
            if (System.getenv("TRESTLELINE_LOG") == null) builder.environment().remove("TRESTLELINE_LOG");
            process = builder.start();
            processes.add(process);
            Kit.log("gateway " + name + " started");
            require(await(30_000, this::passesTest), "gateway " + name + " is not ready");
            Kit.log("gateway " + name + " passed its first test");
        }

        private boolean passesTest() {
            try (var socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(message(52, 0x1234, param(17, new byte[] {0})));
                var in = new DataInputStream(socket.getInputStream());
                byte[] answer = new byte[in.readUnsignedShort()];
                in.readFully(answer);
                return answer[0] == 53 && answer[answer.length - 1] == 1;
            } catch (IOException e) {
                return false;
            }
        }

        boolean alive() {
            return process.isAlive();
        }

        String output() {
            try {
                return Files.readString(tempDir.resolve(name + ".log"));
            } catch (IOException e) {
                return "";
            }
        }
    }

    // Control feed

    /** The control feed: every event it has, in order, and its last number once a second. */
    static final class Feed {
        private final List<String> events = new ArrayList<>();
        private final ServerSocket server;

        Feed() throws IOException {
            server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            Kit.run("feed", () -> {
                while (true) {
                    Socket socket = server.accept();
                    Kit.run("feed connection", () -> follow(socket));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        /** Adds an event; {@code entries} are made by {@link Host#entry}. */
        synchronized void tell(boolean snapshot, String... entries) {
            int n = events.size() + 1;
            events.add("{\"n\":" + n + ",\"members\":{\"index\":" + n + ",\"snapshot\":" + snapshot
                    + ",\"endpoints\":[" + String.join(",", entries) + "]}}");
            Kit.log("feed tells " + events.get(n - 1));
            notifyAll();
        }

        synchronized String known() {
            return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events) + "]}";
        }

        private void follow(Socket socket) throws Exception {
            try (socket) {
                var in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                String line = in.readLine();
                if (line == null || !line.startsWith("SUB ")) return;
                int told = Integer.parseInt(line.substring(4).trim());
                Kit.log("feed hears " + line);
                long nextNumber = now();
                while (true) {
                    List<String> lines = new ArrayList<>();
                    synchronized (this) {
                        long wait = nextNumber - now();
                        if (told >= events.size() && wait > 0) wait(wait);
                        for (; told < events.size(); told++) lines.add(events.get(told));
                    }
                    if (now() >= nextNumber) {
                        lines.add(Integer.toString(told));
                        nextNumber = now() + 1000;
                    }
                    for (String text : lines)
                        socket.getOutputStream().write((text + "\n").getBytes(StandardCharsets.US_ASCII));
                }
            }
        }
    }

    // Media hosts

    /** A message in the media hosts' protocol. */
    record Rtsp(String startLine, Map<String, String> headers, byte[] body) {
        String method() {
            return startLine.startsWith("RTSP/") ? "" : startLine.split(" ")[0];
        }

        int status() {
            return startLine.startsWith("RTSP/") ? Integer.parseInt(startLine.split(" ")[1]) : 0;
        }

        String session() {
            return headers.getOrDefault("session", "");
        }

        static Rtsp read(InputStream in) throws IOException {
            String startLine = line(in);
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            }
            byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            return new Rtsp(startLine, headers, body);
        }

        private static String line(InputStream in) throws IOException {
            var text = new StringBuilder();
            for (int octet = in.read(); octet != '\n'; octet = in.read()) {
                if (octet < 0) throw new IOException("end of stream");
                text.append((char) octet);
            }
            return text.substring(0, text.length() - 1);
        }

        static byte[] encode(String startLine, String body, String... headers) {
            var text = new StringBuilder(startLine).append("\r\n");
            for (int i = 0; i < headers.length; i += 2)
                text.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
            return text.append("Content-Length: ")
                    .append(body.length())
                    .append("\r\n\r\n")
                    .append(body)
                    .toString()
                    .getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** A session that stands at a media host. */
    static final class HostSession {
        final String id;
        /** The connection of its set-up, or null if that is gone. */
        final HostConnection connection;
        /** Whether it has come to its end. */
        volatile boolean over;

        HostSession(String id, HostConnection connection) {
            this.id = id;
            this.connection = connection;
        }
    }

    /**
     * A sound media host. It answers each set-up at once and sends a session's release on the connection of its set-up
     * or, failing that, on any open one, and on the next one opened as well.
     */
    static final class Host {
        final String name;
        final int slot;
        /** How long a session plays. */
        volatile long lifeMs;
        /** What its descriptions hold beyond the usual lines. */
        volatile String furtherLines = "";

        final ServerSocket server;
        final Map<String, HostSession> standing = new ConcurrentHashMap<>();
        final List<HostConnection> connections = new CopyOnWriteArrayList<>();
        /** Releases that no gateway has heard: they go out on the next connection opened as well. By session. */
        private final Map<String, byte[]> releasesForNext = new LinkedHashMap<>();
        /** All set-ups read, in order: session ids. */
        final List<String> setUps = new CopyOnWriteArrayList<>();
        /** The description given for each session. */
        final Map<String, String> descriptions = new ConcurrentHashMap<>();

        private final Random random = new Random();
        /** Where gateways reach it, if that is another port than its own. */
        int publicPort;

        Host(String name, int slot, long lifeMs) throws IOException {
            this.name = name;
            this.slot = slot;
            this.lifeMs = lifeMs;
            server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            publicPort = server.getLocalPort();
            Kit.run(name, () -> {
                for (int index = 1; ; index++) accept(server.accept(), index);
            });
            scheduler.scheduleAtFixedRate(this::closeIdle, 500, 500, TimeUnit.MILLISECONDS);
        }

        /** Closes the connections that have been idle for as long as the settings say. */
        private void closeIdle() {
            for (HostConnection connection : connections)
                if (now() - connection.lastMessageAt > CONNECTION_IDLE_MS) connection.close();
        }

        /** The entry of this host in an event of the feed. */
        String entry(String status) {
            return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + publicPort
                    + "\",\"zone\":\"hall\",\"type\":\"std\",\"group\":" + slot + ",\"status\":\"" + status
                    + "\",\"weight\":1,\"since_ms\":0}";
        }

        private void accept(Socket socket, int index) throws IOException {
            socket.setTcpNoDelay(true);
            var connection = new HostConnection(this, socket, index);
            connections.add(connection);
            log(name + " accepts connection " + index);
            List<byte[]> late;
            synchronized (releasesForNext) {
                late = new ArrayList<>(releasesForNext.values());
            }
            for (byte[] release : late) connection.send(release);
            Kit.run(name + "-" + index, connection::read);
        }

        /** Handles a message of a gateway. */
        private void handle(HostConnection connection, Rtsp message) throws IOException {
            String id = message.session();
            switch (message.method()) {
                case "SETUP" -> onSetUp(connection, message);
                case "TEARDOWN" -> {
                    HostSession session = standing.remove(id);
                    if (session != null) session.over = true;
                    log(name + " ended " + id + " for the gateway");
                    connection.send(Rtsp.encode("RTSP/1.0 200 OK", "", "CSeq", "2", "Session", id));
                }
                case "OPTIONS" ->
                    connection.send(Rtsp.encode(
                            "RTSP/1.0 200 OK", "", "CSeq", "3", "Session", id, "X-Gauges", "load_share:0.1;x1:0.1"));
                case "" -> {
                    if (!"2".equals(message.headers().get("cseq"))) return;
                    synchronized (releasesForNext) {
                        releasesForNext.remove(id);
                    }
                }
                default -> {}
            }
        }

        private void onSetUp(HostConnection connection, Rtsp message) throws IOException {
            String id = message.session();
            setUps.add(id);
            HostSession session = stand(connection, id);
            log(name + " runs " + id + " and answers 200 on connection " + connection.index);
            connection.send(answer(session));
        }

        private HostSession stand(HostConnection connection, String id) {
            var session = new HostSession(id, connection);
            standing.put(id, session);
            synchronized (random) {
                descriptions.put(
                        id,
                        hexId(random) + "\r\nc=IN IP4 127.4.7.9\r\nm=audio " + (20000 + random.nextInt(20000))
                                + " RTP/AVP 0 8 101\r\n" + furtherLines);
            }
            scheduler.schedule(() -> end(session), lifeMs, TimeUnit.MILLISECONDS);
            return session;
        }

        /** A session that was set up before the case began, on a connection that is gone. */
        void standBefore(String id) {
            var session = new HostSession(id, null);
            standing.put(id, session);
            scheduler.schedule(() -> end(session), lifeMs, TimeUnit.MILLISECONDS);
        }

        private byte[] answer(HostSession session) {
            return Rtsp.encode(
                    "RTSP/1.0 200 OK", descriptions.get(session.id), "CSeq", "1", "Session", session.id);
        }

        /** A session has come to its end: releases it. */
        private void end(HostSession session) {
            if (standing.remove(session.id) == null) return;
            session.over = true;
            byte[] release = Rtsp.encode(
                    "TEARDOWN rtsp://media/" + session.id + " RTSP/1.0",
                    "",
                    "CSeq",
                    "2",
                    "Session",
                    session.id,
                    "Reason",
                    "cause=16");
            HostConnection target = session.connection == null || session.connection.closed ? null : session.connection;
            for (HostConnection other : connections) if (target == null && !other.closed) target = other;
            synchronized (releasesForNext) {
                releasesForNext.put(session.id, release);
            }
            log(name + " releases " + session.id + " with cause 16 on connection "
                    + (target == null ? "none, waits for the next" : target.index));
            if (target != null) target.send(release);
        }
    }

    /** A media host's end of a connection. */
    static final class HostConnection {
        final Host host;
        final Socket socket;
        final int index;
        volatile boolean closed;
        volatile long lastMessageAt = now();

        HostConnection(Host host, Socket socket, int index) {
            this.host = host;
            this.socket = socket;
            this.index = index;
        }

        synchronized void send(byte[] bytes) {
            lastMessageAt = now();
            try {
                socket.getOutputStream().write(bytes);
            } catch (IOException e) {
                closed = true;
            }
        }

        void close() {
            closed = true;
            try {
                socket.close();
            } catch (IOException e) {
                // closed already
            }
        }

        private void read() throws IOException {
            try (socket) {
                var in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Rtsp message = Rtsp.read(in);
                    lastMessageAt = now();
                    host.handle(this, message);
                }
            } finally {
                closed = true;
                host.connections.remove(this);
                log(host.name + " connection " + index + " closed");
            }
        }
    }

    // Network between gateways and a media host

    /** Decides what of a media host's message goes on to the gateway: the bytes, or null for none. */
    interface Spoiler {
        byte[] pass(Link link, Rtsp message, byte[] raw);
    }

    /** One connection through the network. */
    static final class Link {
        final int index;
        final Socket gateway;
        final Socket host;
        /** Whether nothing more goes on from the media host to the gateway; both ends stay open. */
        volatile boolean silent;

        Link(int index, Socket gateway, Socket host) {
            this.index = index;
            this.gateway = gateway;
            this.host = host;
        }
    }

    /** The network in front of a media host: it carries each connection on, unless a spoiler interferes. */
    static final class Network {
        private static final int BACKLOG = 32;

        private final Host host;
        private final Spoiler spoiler;
        private final ServerSocket server = new ServerSocket();
        final List<Link> links = new CopyOnWriteArrayList<>();
        private volatile boolean vanished;
        /** Connections of its own that nobody takes. */
        private final List<SocketChannel> fillers = new ArrayList<>();

        /** Puts itself in front of a host: gateways that are told of the host from now on come through here. */
        Network(Host host, Spoiler spoiler) throws IOException {
            this.host = host;
            this.spoiler = spoiler;
            server.bind(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
            host.publicPort = server.getLocalPort();
            Kit.run("network", () -> {
                while (!vanished) carry(server.accept(), links.size() + 1);
            });
        }

        /** How many connections of the gateway are open. */
        long open() {
            return links.stream().filter(link -> !link.gateway.isClosed()).count();
        }

        /** The machine vanishes: open connections stay open and quiet, and new ones never come up. */
        void vanish() throws IOException, CouldNotRun {
            vanished = true;
            host.standing.values().forEach(session -> session.over = true);
            host.standing.clear();
            for (Link link : links) link.silent = true;
            // What the system has accepted for a listener that takes no connection any more is limited: beyond that, new
            // connections get no answer.
            var address = new InetSocketAddress("127.0.0.1", host.publicPort);
            for (int i = 0; i < 2 * BACKLOG + 4; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(address);
                fillers.add(filler);
            }
            try (var probe = new Socket()) {
                probe.connect(address, 300);
                throw new CouldNotRun("a connection to the vanished machine came up");
            } catch (SocketTimeoutException e) {
                log(host.name + " has vanished: silent, and no connection comes up");
            }
        }

        private void carry(Socket gateway, int index) throws IOException {
            var onward = new Socket(InetAddress.getByName("127.0.0.1"), host.server.getLocalPort());
            onward.setTcpNoDelay(true);
            gateway.setTcpNoDelay(true);
            var link = new Link(index, gateway, onward);
            links.add(link);
            Kit.run("link to host", () -> {
                try (gateway; onward) {
                    byte[] buffer = new byte[16384];
                    InputStream in = gateway.getInputStream();
                    for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                        if (!vanished) onward.getOutputStream().write(buffer, 0, length);
                    }
                }
            });
            Kit.run("link to gateway", () -> {
                try (gateway; onward) {
                    var in = new Tee(new BufferedInputStream(onward.getInputStream()));
                    while (true) {
                        Rtsp message = Rtsp.read(in);
                        byte[] raw = in.take();
                        byte[] passed = link.silent ? null : spoiler.pass(link, message, raw);
                        if (passed != null) gateway.getOutputStream().write(passed);
                    }
                }
            });
        }
    }

    /** Keeps what was read. */
    private static final class Tee extends InputStream {
        private final InputStream in;
        private final ByteArrayOutputStream read = new ByteArrayOutputStream();

        Tee(InputStream in) {
            this.in = in;
        }

        @Override
        public int read() throws IOException {
            int octet = in.read();
            if (octet >= 0) read.write(octet);
            return octet;
        }

        byte[] take() {
            byte[] bytes = read.toByteArray();
            read.reset();
            return bytes;
        }
    }

    // Viewers

    static byte[] param(int code, byte[] value) {
        byte[] encoded = new byte[3 + value.length];
        encoded[0] = (byte) code;
        encoded[1] = (byte) (value.length >> 8);
        encoded[2] = (byte) value.length;
        System.arraycopy(value, 0, encoded, 3, value.length);
        return encoded;
    }

    static byte[] param(int code, String value) {
        return param(code, value.getBytes(StandardCharsets.ISO_8859_1));
    }

    static byte[] message(int type, long session, byte[]... parameters) {
        int length = 9;
        for (byte[] parameter : parameters) length += parameter.length;
        var out = new ByteArrayOutputStream(2 + length);
        out.write(length >> 8);
        out.write(length);
        out.write(type);
        for (int shift = 56; shift >= 0; shift -= 8) out.write((int) (session >> shift));
        for (byte[] parameter : parameters) out.writeBytes(parameter);
        return out.toByteArray();
    }

    static String hex(long id) {
        return String.format("%016x", id);
    }

    /** A viewer's request and what became of it. */
    static final class Request {
        final long id;
        final String tier;
        final long deadlineMs;
        volatile long sentAt;
        /** When the answer was read, or 0; and its kind: served, refused or failed. */
        volatile long answeredAt;

        volatile String answer;
        volatile byte[] description;
        volatile int answers;
        volatile int cause;
        /** When the session's release was read, or 0. */
        volatile long releasedAt;

        Request(long id, String tier, long deadlineMs) {
            this.id = id;
            this.tier = tier;
            this.deadlineMs = deadlineMs;
        }
    }

    /** All requests of a case by id: a session's release may come on any connection. */
    static final Map<Long, Request> requests = new ConcurrentHashMap<>();

    private static final Random viewerRandom = new Random();

    /** A viewers' connection to a gateway. */
    static final class Viewers {
        private final Socket socket;
        private final OutputStream out;
        final String name;
        volatile boolean closed;

        Viewers(String name, Gateway gateway) throws IOException {
            this.name = name;
            socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", gateway.port), 2000);
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
            Kit.run(name, this::read);
        }

        /** Sends a set-up for a title that lies on {@code copies} slots from {@code home} on. */
        Request setUp(String tier, String tenant, String title, int home, int copies, int top, long deadlineMs)
                throws IOException {
            long id;
            long viewer;
            synchronized (viewerRandom) {
                id = viewerRandom.nextLong() | 1;
                viewer = viewerRandom.nextLong() >>> 12;
            }
            var request = new Request(id, tier, deadlineMs);
            requests.put(id, request);
            byte[] bytes = message(
                    1,
                    id,
                    param(3, tier),
                    param(4, Long.toString(deadlineMs)),
                    param(5, tenant),
                    param(7, title),
                    param(8, "home:" + home + ";copies:" + copies + ";top:" + top + ";viewer:" + hex(viewer)),
                    param(18, hex(viewer) + "\r\nc=IN IP4 127.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"));
            log(name + " asks " + hex(id) + " class " + tier + " title " + title + " waits " + deadlineMs);
            request.sentAt = now();
            send(bytes);
            return request;
        }

        /** Hands over a session that plays at a media host already. */
        Request handOver(Host host, String tier, String tenant, String title, int top) throws IOException {
            long id;
            synchronized (viewerRandom) {
                id = viewerRandom.nextLong() | 1;
            }
            var request = new Request(id, tier, 0);
            request.answer = "served";
            request.answeredAt = now();
            requests.put(id, request);
            host.standBefore(hex(id));
            log(name + " hands over " + hex(id) + " at " + host.name);
            send(message(
                    1,
                    id,
                    param(3, tier),
                    param(4, "3000"),
                    param(5, tenant),
                    param(7, title),
                    param(8, "home:" + host.slot + ";copies:3;top:" + top + ";viewer:" + hex(id >>> 12) + ";at:" + host.name),
                    param(18, hex(id) + "\r\nc=IN IP4 127.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n")));
            return request;
        }

        synchronized void send(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        void close() throws IOException {
            socket.close();
        }

        private void read() throws IOException {
            try (socket) {
                var in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                while (true) {
                    byte[] bytes = new byte[in.readUnsignedShort()];
                    in.readFully(bytes);
                    handle(bytes);
                }
            } finally {
                closed = true;
                log(name + " connection closed");
            }
        }

        private void handle(byte[] bytes) {
            int type = bytes[0] & 0xff;
            long id = 0;
            for (int i = 1; i < 9; i++) id = id << 8 | bytes[i] & 0xff;
            Map<Integer, byte[]> parameters = new HashMap<>();
            for (int i = 9; i < bytes.length; ) {
                int length = (bytes[i + 1] & 0xff) << 8 | bytes[i + 2] & 0xff;
                byte[] value = new byte[length];
                System.arraycopy(bytes, i + 3, value, 0, length);
                parameters.put(bytes[i] & 0xff, value);
                i += 3 + length;
            }
            Request request = requests.get(id);
            if (request == null) return;
            int cause = parameters.containsKey(17) ? parameters.get(17)[0] & 0xff : -1;
            if (type == 9) {
                request.answers++;
                request.answeredAt = now();
                request.answer = "served";
                request.description = parameters.get(18);
                log(name + " hears " + hex(id) + " served");
            } else if (type == 12 && "served".equals(request.answer)) {
                request.cause = cause;
                request.releasedAt = now();
                log(name + " hears " + hex(id) + " released, cause " + cause);
            } else if (type == 12) {
                request.answers++;
                request.cause = cause;
                request.answer = cause == 34 || cause == 42 || cause == 102 ? "refused" : "failed";
                request.answeredAt = now();
                log(name + " hears " + hex(id) + " " + request.answer + ", cause " + cause);
            }
        }
    }

    /** Settings of a small deployment: one paid class and one that may be repeated; as many media hosts as {@code slots}. */
    static String settings(int slots) {
        return "{\"accounts\":[{\"name\":\"acme\",\"quotaPerS\":1000.0,\"fraction\":1.0}],"
                + "\"blend\":{\"whole\":1.0},"
                + "\"classes\":[{\"name\":\"paid\",\"aim\":1500.0,\"deadline\":3000.0,\"dedupWindow\":5000.0,"
                + "\"effect\":\"side_effect\",\"group\":\"all\",\"lateValue\":0.0,\"streamed\":true,\"worth\":2.0},"
                + "{\"name\":\"free\",\"aim\":1000.0,\"deadline\":5000.0,\"dedupWindow\":5000.0,"
                + "\"effect\":\"pure\",\"group\":\"all\",\"lateValue\":0.0,\"streamed\":true,\"worth\":1.0}],"
                + "\"clients\":{\"marksRetry\":false},\"discovery\":\"pushed\",\"domainType\":\"streams\","
                + "\"kinds\":[\"std\"],\"locality\":\"hall\",\"me\":0,\"overShareWorth\":0.1,"
                + "\"policyLimits\":{\"cancel\":true,\"connIdle\":" + CONNECTION_IDLE_MS + ".0,"
                + "\"connectTimeout\":250.0,"
                + "\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":400000,\"maxOpen\":1000000,\"maxRetryAfter\":2000.0,"
                + "\"multiplex\":1048576,\"peerMessages\":false,\"probes\":false,\"retryAfter\":true,"
                + "\"secondCopies\":false,\"sendCap\":5},"
                + "\"prices\":{\"connection\":0.0,\"crossZone\":0.0,\"discovery\":0.0,\"handshake\":0.0,"
                + "\"lateFail\":0.05,\"moves\":0.2,\"origin\":0.0,\"peer\":0.0,\"probe\":0.01,\"waste\":0.0},"
                + "\"replicasOfMe\":1,\"report\":{\"fields\":[],\"via\":\"silent\"},\"resolution\":10.0,"
                + "\"rules\":{\"askEvery\":10000.0,\"cold\":12000.0,\"coldShare\":0.4,\"drainGrace\":500.0,"
                + "\"fall\":1000.0,\"graceToAnswer\":40.0,\"overloadFactor\":2.0},"
                + "\"specifics\":{\"classFloor\":[1,0],\"classSeats\":[0,0],\"classTop\":[4,3],"
                + "\"groups\":1,\"guard\":1.0,\"isLive\":[false,false],\"joinAdds\":1.0,\"kindSlots\":[33],"
                + "\"ladderKb\":[283.0,481.0,816.0,1387.0,2357.0],\"levelWorth\":[0.22,0.44,0.64,0.82,1.0],"
                + "\"linkUnitKb\":33000.0,\"linksKb\":" + 33000.0 * slots + ",\"places\":" + slots
                + ",\"rackLinkKb\":" + 33000.0 * slots + ",\"rateFactor\":[1.2,1.0],\"see\":844.796,"
                + "\"shortfallCost\":10.0,\"switchS\":0.72,\"toldEvery\":0.0},"
                + "\"stage\":0,\"tiers\":[\"media-fleet\"],\"weightKind\":\"silent\",\"worthBy\":\"request\","
                + "\"zones\":[\"hall\"]}";
    }
}
