package trestleline.emulation;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import trestleline.conformance.TrafficEvent;
import trestleline.discovery.ListedHost;
import trestleline.placement.Placement;

/**
 * Emulates the source of the host list (docs/wire.md). Changes are published after a delay that can be raised; each
 * gateway receives all changes in order, or the whole list when it subscribes. All calls are made on one event loop.
 */
public final class HostListServer {
    private final Vertx vertx;
    private final Trace trace;
    private final DoubleSupplier clock;
    private final Map<String, ListedHost> listed = new TreeMap<>();
    private final Map<HttpServerResponse, String> subscribers = new HashMap<>();
    private HttpServer server;
    private long version = 1;
    private double delayMs;
    private double lastDue;
    /** Additional delay by gateway, ms. */
    private final Map<String, Double> gatewayDelayMs = new HashMap<>();

    private int port;

    /**
     * Creates a server that is not started yet.
     *
     * @param clock source of the time, ms
     */
    public HostListServer(Vertx vertx, Trace trace, DoubleSupplier clock) {
        this.vertx = vertx;
        this.trace = trace;
        this.clock = clock;
    }

    /** Starts to listen on a free port of 127.0.0.1 and completes with the port; fails if it cannot listen. */
    public Future<Integer> start() {
        server = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
        server.requestHandler(this::handle);
        vertx.setPeriodic(1000, t -> subscribers.keySet().forEach(r -> r.write("\n")));
        return server.listen(port, "127.0.0.1").map(s -> port = s.actualPort());
    }

    /** Returns the port that it listens on, or 0 before it does. */
    public int port() {
        return port;
    }

    /** Returns the address that a gateway subscribes at. */
    public String url(String gateway) {
        return "http://127.0.0.1:" + port + "/hosts?gateway=" + gateway;
    }

    /** Sets the delay with which changes are published from now on, ms. */
    public void delayMs(double ms) {
        delayMs = ms;
    }

    /** Sets the time by which one gateway receives changes later than the others from now on, ms. */
    public void gatewayDelayMs(String gateway, double ms) {
        gatewayDelayMs.put(gateway, ms);
    }

    /** Publishes changes at once, before any that are delayed. */
    public void publishNow(List<ListedHost> changes) {
        apply(changes);
    }

    /** Resets every subscriber's connection; the subscribers have to reconnect. */
    public void resetConnections() {
        for (HttpServerResponse response : new ArrayList<>(subscribers.keySet())) response.reset();
        subscribers.clear();
    }

    /** Publishes changes after the current delay, in the order of the calls. */
    public void publish(List<ListedHost> changes) {
        double now = clock.getAsDouble();
        lastDue = Math.max(lastDue, now + delayMs);
        if (lastDue <= now) apply(changes);
        else vertx.setTimer((long) Math.ceil(lastDue - now), t -> apply(changes));
    }

    private void apply(List<ListedHost> changes) {
        version++;
        for (ListedHost change : changes) {
            if (change.entry().status().equals("Deleted"))
                listed.remove(change.entry().host());
            else listed.put(change.entry().host(), change);
        }
        long changeVersion = version;
        subscribers.forEach((response, gateway) -> {
            double ms = gatewayDelayMs.getOrDefault(gateway, 0.0);
            if (ms < 1) send(response, gateway, "patch", changeVersion, changes);
            else
                vertx.setTimer((long) ms, t -> {
                    if (subscribers.containsKey(response)) send(response, gateway, "patch", changeVersion, changes);
                });
        });
    }

    private void send(HttpServerResponse response, String gateway, String mode, long version, List<ListedHost> hosts) {
        response.write(ListedHost.format(mode, version, hosts) + "\n");
        for (ListedHost host : hosts) {
            Placement.HostEntry entry = host.entry();
            trace.add(new TrafficEvent.HostStatusSent(
                    clock.getAsDouble(), gateway, entry.host(), entry.status(), entry.startedAt()));
        }
    }

    private void handle(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        if (!request.path().equals("/hosts")) {
            response.setStatusCode(404).end();
            return;
        }
        String gateway = String.valueOf(request.getParam("gateway"));
        List<ListedHost> all = List.copyOf(listed.values());
        response.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
        send(response, gateway, "whole", version, all);
        if (request.params().contains("once")) {
            response.end();
            return;
        }
        subscribers.put(response, gateway);
        response.exceptionHandler(e -> subscribers.remove(response));
        response.closeHandler(v -> subscribers.remove(response));
    }

    /** Stops listening and closes all connections. */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }
}
