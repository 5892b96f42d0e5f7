package trestleline.scenario;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import trestleline.discovery.ListedHost;
import trestleline.emulation.HostListServer;
import trestleline.emulation.HostModel;
import trestleline.emulation.MediaHost;
import trestleline.emulation.Rack;
import trestleline.emulation.Trace;
import trestleline.placement.Placement;

/** The emulated media hosts of a scenario with their racks and the host list's feed, all on one event loop. */
public final class Fleet {
    private final Scenario scenario;
    private final DoubleSupplier clock;
    private final List<MediaHost> hosts = new ArrayList<>();
    private final List<Rack> racks = new ArrayList<>();
    private final HostListServer feed;

    /** Creates the hosts and the feed; nothing listens before {@link #start}. */
    public Fleet(Scenario scenario, Vertx vertx, Trace trace, DoubleSupplier clock) {
        this.scenario = scenario;
        this.clock = clock;
        Placement.Settings settings = scenario.gatewayTemplate().settings();
        var physics = new HostModel(
                settings,
                scenario.gatewayTemplate().media().segmentS(),
                scenario.hostBehavior().minSetUpMs(),
                scenario.hostBehavior().maxSetUpMs(),
                scenario.hostBehavior().rateSpread(),
                scenario.hostBehavior().deliverySpeedup());
        for (int index = 0; index < settings.fleet().racks(); index++) racks.add(new Rack(scenario.uplinkKbPerS()));
        feed = new HostListServer(vertx, trace, clock);
        var random = new SplittableRandom(scenario.seed());
        int slot = 0;
        for (Scenario.HostSpec hostSpec : scenario.hosts()) {
            int kind = settings.fleet().kinds().indexOf(hostSpec.kind());
            for (int index = 0; index < hostSpec.count(); index++, slot++) {
                // Slots are assigned consecutively, so that a subset of the hosts is spread over the titles.
                var mediaHostSpec = new MediaHost.Spec(
                        "host-" + Character.toString('a' + slot % 26) + slot,
                        hostSpec.kind(),
                        settings.zone(),
                        slot,
                        settings.fleet().sessionSlots()[kind],
                        hostSpec.linkKbPerS());
                hosts.add(new MediaHost(
                        vertx,
                        mediaHostSpec,
                        racks.get(slot % racks.size()),
                        physics,
                        trace,
                        clock,
                        random.nextLong()));
            }
        }
    }

    /** Starts the feed and all hosts, warm, and publishes the hosts as running. */
    public Future<Void> start() {
        return feed.start()
                .compose(port ->
                        Future.all(hosts.stream().map(host -> host.start(true)).toList()))
                .map(started -> {
                    feed.publish(
                            hosts.stream().map(host -> listed(host, "Running")).toList());
                    return null;
                });
    }

    /** Returns the list entry of a host with the given status. */
    ListedHost listed(MediaHost host, String status) {
        MediaHost.Spec spec = host.spec();
        return new ListedHost(
                new Placement.HostEntry(
                        spec.name(), status, spec.kind(), host.startedAt(), spec.zone(), 1, spec.slot()),
                "127.0.0.1",
                host.port());
    }

    /** Publishes a host's status to the feed after {@code extraDelayMs} ms; the feed adds its own delay. */
    void publish(Vertx vertx, MediaHost host, String status, double extraDelayMs) {
        ListedHost entry = listed(host, status);
        if (extraDelayMs < 1) feed.publish(List.of(entry));
        else vertx.setTimer((long) extraDelayMs, timer -> feed.publish(List.of(entry)));
    }

    /** Hosts in the order of their slots. */
    public List<MediaHost> hosts() {
        return hosts;
    }

    List<Rack> racks() {
        return racks;
    }

    /** Feed from which the gateways read the host list. */
    public HostListServer feed() {
        return feed;
    }

    DoubleSupplier clock() {
        return clock;
    }

    Scenario scenario() {
        return scenario;
    }
}
