package trestleline.cli;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trestleline.core.WallClock;
import trestleline.emulation.MediaHost;
import trestleline.emulation.Trace;
import trestleline.scenario.Fleet;
import trestleline.scenario.Scenario;

/** Runs the emulated media hosts and the host list of a day. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description =
                "Runs the emulated media hosts and the host list of a day, without its gateways and viewers, until terminated.")
final class Standin implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "CONFIG", description = "a day, JSON5")
    private Path file;

    @Override
    public Integer call() throws Exception {
        Scenario day = Scenario.load(file);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        var fleet = new Fleet(day, vertx, Trace.none(), new WallClock());
        fleet.start().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
        var out = spec.commandLine().getOut();
        for (MediaHost host : fleet.hosts()) out.println(host.spec().name() + " 127.0.0.1:" + host.port());
        out.println("list " + fleet.feed().url("NUMBER"));
        out.flush();
        new CountDownLatch(1).await();
        return 0;
    }
}
