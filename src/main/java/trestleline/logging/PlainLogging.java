package trestleline.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.Logger;

/**
 * Configures logging like {@code logback.xml}, but without reading that file, which took half of the startup time of a
 * gateway on a fraction of a core. Only used if the system property {@value #PROPERTY} is set. {@code TRESTLELINE_LOG}
 * sets the level, as it does there.
 */
public final class PlainLogging extends ContextAwareBase implements Configurator {
    /** System property that enables this configuration; its value is ignored. */
    public static final String PROPERTY = "trestleline.log.plain";

    /** Log events that may wait to be written. */
    private static final int QUEUE_CAPACITY = 1024;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (System.getProperty(PROPERTY) == null) return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        var encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithContext(false);
        encoder.setWithArguments(false);
        encoder.start();
        var console = new ConsoleAppender<ILoggingEvent>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder);
        console.start();
        var async = new AsyncAppender();
        async.setContext(context);
        async.setQueueSize(QUEUE_CAPACITY);
        async.setDiscardingThreshold(0);
        async.setNeverBlock(true);
        async.addAppender(console);
        async.start();
        String level = System.getProperty("TRESTLELINE_LOG", System.getenv().getOrDefault("TRESTLELINE_LOG", "WARN"));
        for (String library : new String[] {"io.netty", "io.vertx"})
            context.getLogger(library).setLevel(Level.INFO);
        context.getLogger("io.netty.bootstrap.ServerBootstrap").setLevel(Level.ERROR);
        var root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level, Level.WARN));
        root.addAppender(async);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
