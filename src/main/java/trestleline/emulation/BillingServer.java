package trestleline.emulation;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import trestleline.ledger.Entry;
import trestleline.ledger.Head;
import trestleline.ledger.PaidStartTotals;
import trestleline.ledger.SealedEntry;

/**
 * Emulates the billing service (docs/ledger-wire.md): accepts batches of ledger lines, stores each chain once and
 * reports up to where it has stored it. Injected faults lose acknowledgements, answer with wrong data or errors, hang,
 * or abort half way through a batch; lines accepted by then stay stored.
 */
public final class BillingServer {
    private final Vertx vertx;
    private final SplittableRandom random;
    /** Stored lines by gateway and generation; they survive injected faults. */
    private final Map<String, Map<String, List<String>>> chainsByGateway = new LinkedHashMap<>();

    private final Map<String, String> heads = new LinkedHashMap<>();
    private final Set<HttpConnection> connections = new HashSet<>();
    private HttpServer server;
    private int port;
    private double faultRate;
    private long batches;
    private long duplicateLines;
    private long refusedBatches;
    private long injectedFaults;

    /**
     * Creates a server that is not started yet.
     *
     * @param seed seed of the injected faults
     */
    public BillingServer(Vertx vertx, long seed) {
        this.vertx = vertx;
        random = new SplittableRandom(seed);
    }

    /** Starts to listen on a free port of 127.0.0.1 and completes with the port; fails if it cannot listen. */
    public Future<Integer> start() {
        server = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
        server.connectionHandler(connection -> {
            connections.add(connection);
            connection.exceptionHandler(e -> {});
            connection.closeHandler(v -> connections.remove(connection));
        });
        server.requestHandler(this::handle);
        return server.listen(port, "127.0.0.1").map(s -> port = s.actualPort());
    }

    /** Returns the port that it listens on, or 0 before it does. */
    public int port() {
        return port;
    }

    /** Returns the base address that gateways export to. */
    public String url() {
        return "http://127.0.0.1:" + port;
    }

    /** Sets the part of requests, from 0 to 1, that a fault is injected into. */
    public void faultRate(double part) {
        faultRate = part;
    }

    private void handle(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        response.exceptionHandler(e -> {});
        String gateway = String.valueOf(request.getParam("gateway"));
        if (request.path().equals("/cursor")) {
            if (!injectFault(request, response)) response.end(cursor(gateway).encode());
        } else if (request.path().equals("/heads")) {
            response.end(String.join("\n", heads(gateway)) + "\n");
        } else if (request.path().equals("/batches")) {
            request.body()
                    .onSuccess(body ->
                            handleBatch(request, gateway, body.toString().split("\n")));
        } else {
            response.setStatusCode(404).end();
        }
    }

    private JsonObject cursor(String gateway) {
        var generations = new JsonObject();
        chainsByGateway
                .getOrDefault(gateway, Map.of())
                .forEach((generation, lines) -> generations.put(
                        generation,
                        new JsonObject()
                                .put("next", lines.size())
                                .put(
                                        "mac",
                                        SealedEntry.parse(lines.get(lines.size() - 1))
                                                .mac())));
        return new JsonObject().put("gateway", gateway).put("generations", generations);
    }

    /** Answers some requests with an error, a closed connection or not at all; returns whether it did. */
    private boolean injectFault(HttpServerRequest request, HttpServerResponse response) {
        if (random.nextDouble() >= faultRate) return false;
        injectedFaults++;
        switch (random.nextInt(3)) {
            case 0 -> response.setStatusCode(500).end();
            case 1 -> request.connection().close();
            default -> {} // no response
        }
        return true;
    }

    private void handleBatch(HttpServerRequest request, String gateway, String[] received) {
        String[] lines = java.util.Arrays.stream(received)
                .filter(line -> !Head.isHeadLine(line))
                .toArray(String[]::new);
        HttpServerResponse response = request.response();
        String generation = request.getParam("generation");
        long from;
        try {
            from = Long.parseLong(request.getParam("from"));
        } catch (NumberFormatException e) {
            response.setStatusCode(400).end("from: expected a whole number\n");
            return;
        }
        batches++;
        boolean faulty = random.nextDouble() < faultRate;
        int fault = faulty ? random.nextInt(6) : -1;
        if (faulty) injectedFaults++;
        if (fault == 0) {
            response.setStatusCode(503).end();
            return;
        }
        if (fault == 1) return; // stores nothing and never responds
        int limit = fault == 2 ? random.nextInt(lines.length + 1) : lines.length; // aborts within the batch
        String problem = store(gateway, generation, from, lines, limit);
        if (problem == null && limit == lines.length) {
            for (String line : received) if (Head.isHeadLine(line)) heads.put(gateway + "/" + generation, line);
        }
        List<String> chain = chainsByGateway.getOrDefault(gateway, Map.of()).getOrDefault(generation, List.of());
        if (fault == 2 || fault == 3) { // loses the acknowledgement
            request.connection().close();
            return;
        }
        if (fault == 4) return; // stores the batch but never responds
        JsonObject answer = new JsonObject()
                .put("generation", fault == 5 ? "another" : generation)
                .put("next", chain.size())
                .put(
                        "mac",
                        chain.isEmpty()
                                ? ""
                                : SealedEntry.parse(chain.get(chain.size() - 1)).mac());
        if (problem != null) {
            refusedBatches++;
            response.setStatusCode(409);
        }
        response.end(answer.encode());
    }

    /**
     * Stores the first {@code limit} lines of a batch, each of them once however often it is received. Returns null, or
     * the reason for which the batch is refused.
     */
    private String store(String gateway, String generation, long from, String[] lines, int limit) {
        Map<String, List<String>> chains = chainsByGateway.computeIfAbsent(gateway, g -> new LinkedHashMap<>());
        List<String> chain = chains.getOrDefault(generation, new ArrayList<>());
        if (from > chain.size()) return "a gap";
        for (int i = 0; i < limit; i++) {
            int seq = (int) from + i;
            try {
                Entry entry = Entry.decode(SealedEntry.parse(lines[i]).text());
                if (entry.seq() != seq
                        || !entry.generation().equals(generation)
                        || !entry.gateway().equals(gateway)) return "misplaced";
            } catch (IllegalArgumentException e) {
                return "unreadable";
            }
            if (seq < chain.size()) {
                duplicateLines++;
                if (!chain.get(seq).equals(lines[i])) return "a fork";
            } else {
                chain.add(lines[i]);
                chains.put(generation, chain);
            }
        }
        return null;
    }

    /** Returns the newest head received of each generation of a gateway, as it was signed. */
    public List<String> heads(String gateway) {
        List<String> gatewayHeads = new ArrayList<>();
        heads.forEach((chain, head) -> {
            if (chain.startsWith(gateway + "/")) gatewayHeads.add(head);
        });
        return gatewayHeads;
    }

    /** Returns all stored lines of a gateway, one generation after the other. */
    public List<String> lines(String gateway) {
        List<String> lines = new ArrayList<>();
        chainsByGateway.getOrDefault(gateway, Map.of()).values().forEach(lines::addAll);
        return lines;
    }

    /** Returns the names of the gateways that have sent batches. */
    public Set<String> gateways() {
        return chainsByGateway.keySet();
    }

    /** Returns the totals of all stored lines. */
    public PaidStartTotals totals() {
        var totals = new PaidStartTotals();
        for (String gateway : chainsByGateway.keySet())
            for (String line : lines(gateway))
                totals.add(Entry.decode(SealedEntry.parse(line).text()));
        return totals;
    }

    /** Returns a summary: batches received, lines received again, batches refused and faults injected. */
    public String counts() {
        return batches + " batches, " + duplicateLines + " lines received again, " + refusedBatches + " refused, "
                + injectedFaults + " injected faults";
    }

    /** Returns the number of requests that a fault was injected into. */
    public long injectedFaults() {
        return injectedFaults;
    }
}
