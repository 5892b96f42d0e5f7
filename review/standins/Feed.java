import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Stand-in of the control feed: a subscription gets every event after the one it names, then each new one as it is
 * told, and every second a line that holds only the last number. {@code answerDelayMs} is how long a subscription
 * waits for its turn before it is answered.
 */
final class Feed implements AutoCloseable {
    private final ServerSocket server;
    private final Rec rec;
    private final List<String> events = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private int connections;
    volatile int answerDelayMs;
    private volatile boolean closed;

    Feed(Rec rec) throws IOException {
        this.rec = rec;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Harness.daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** The entry of a media host, as events hold it. */
    static String entry(String name, int port, int group, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"cardiff-dc1\",\"type\":\"std-3core\","
                + "\"group\":" + group + ",\"status\":\"" + status + "\",\"weight\":1,\"since_ms\":0}";
    }

    /** Tells the next event; returns the time from which it counts as told. */
    synchronized long tell(boolean snapshot, String... entries) {
        int n = events.size() + 1;
        events.add("{\"n\":" + n + ",\"members\":{\"index\":" + n + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
                + String.join(",", entries) + "]}}");
        long told = System.currentTimeMillis();
        String text = events.get(n - 1);
        rec.line("feed: event %d is told: %s", n, text.length() > 600 ? text.length() + " bytes" : text);
        notifyAll();
        return told;
    }

    synchronized int last() {
        return events.size();
    }

    /** The events so far, in the form of the configuration's field 'known'. */
    synchronized String known() {
        return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events) + "]}";
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                int number;
                synchronized (this) {
                    number = ++connections;
                    sockets.add(socket);
                }
                Harness.daemon(() -> serve(socket, number));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, int number) {
        int sent = -1;
        long due = 0;
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = in.readLine();
            if (line == null || !line.startsWith("SUB ")) return;
            rec.line("feed: connection %d subscribes: %s; it is answered in %d ms", number, line, answerDelayMs);
            sent = Integer.parseInt(line.substring(4).trim());
            var end = new Object() {
                volatile boolean reached;
            };
            Harness.daemon(() -> {
                try {
                    while (in.readLine() != null) {}
                } catch (IOException e) {
                    // the same as an end
                }
                end.reached = true;
                rec.line("feed: connection %d was ended by the gateway", number);
                synchronized (this) {
                    notifyAll();
                }
            });
            long answerAt = System.currentTimeMillis() + answerDelayMs;
            while (!closed && !end.reached) {
                String text = null;
                synchronized (this) {
                    long now = System.currentTimeMillis();
                    if (now < answerAt) wait(answerAt - now);
                    else if (sent < events.size()) text = events.get(sent++) + "\n";
                    else if (now >= due) {
                        text = events.size() + "\n";
                        due = now + 1000;
                    } else wait(due - now);
                }
                if (text != null) {
                    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                    socket.getOutputStream().flush();
                }
            }
        } catch (IOException e) {
            rec.line("feed: connection %d broke after event %d: %s", number, sent, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        synchronized (this) {
            for (Socket socket : sockets) socket.close();
            notifyAll();
        }
    }
}
