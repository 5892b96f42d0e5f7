package trestleline.scenario;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import trestleline.config.GatewayConfig;
import trestleline.daemon.ComponentHooks;
import trestleline.daemon.GatewayNode;

/** A gateway in this process, on its own event loop. */
final class InProcessGateway implements GatewayHandle {
    private final IntFunction<GatewayConfig> configForPort;
    private final Supplier<ComponentHooks> seams;
    private volatile GatewayNode node;
    private volatile int port;

    /**
     * Creates a gateway that is not started yet.
     *
     * @param configForPort returns the settings for a port; port 0 lets the system choose one
     * @param seams supplies the seams between the gateway's parts, anew at each start
     */
    InProcessGateway(IntFunction<GatewayConfig> configForPort, Supplier<ComponentHooks> seams) {
        this.seams = seams;
        this.configForPort = configForPort;
    }

    @Override
    public Future<Integer> start() {
        Promise<Integer> started = Promise.promise();
        // The gateway creates its own Vertx instance, which must not happen on another instance's event loop.
        new Thread(() -> {
                    try {
                        node = new GatewayNode(configForPort.apply(port), seams.get());
                        node.start().onSuccess(boundPort -> port = boundPort).onComplete(started);
                    } catch (RuntimeException error) {
                        started.fail(error);
                    }
                })
                .start();
        return started.future();
    }

    @Override
    public Future<Void> kill() {
        return node.kill();
    }

    @Override
    public Future<Void> stall(long ms) {
        return node.stall(ms);
    }

    @Override
    public Future<Void> stop() {
        return node.stop();
    }

    @Override
    public int port() {
        return port;
    }
}
