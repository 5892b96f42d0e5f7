package trestleline.scenario;

import io.vertx.core.Future;

/** Controls one gateway of a scenario, in this process or a child process. Methods may be called from any thread. */
interface GatewayHandle {
    /** Starts the gateway, on its previous port if it had one, and completes with the port. */
    Future<Integer> start();

    /** Stops the gateway abruptly, as a crash would. */
    Future<Void> kill();

    /** Suspends the gateway for {@code ms} milliseconds; completes when it runs again. */
    Future<Void> stall(long ms);

    /** Shuts the gateway down gracefully. */
    Future<Void> stop();

    /** Port the gateway listens on; 0 before its first start. */
    int port();
}
