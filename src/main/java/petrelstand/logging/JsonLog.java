package petrelstand.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes log lines to standard output as JSON, one object per line, using Logback. The message is the same as in the
 * text format; the first word before its first colon is also written as {@code component}. Log events of libraries are
 * written in the same format.
 *
 * <p>In the text format neither this class nor Logback is loaded.
 */
public final class JsonLog implements Consumer<String> {
    private static final String PROVIDER_PROPERTY = "slf4j.provider";

    private final Logger logger;
    private LongSupplier viewVersion;

    /** Configures Logback; call it before anything obtains an SLF4J logger, since SLF4J chooses its provider once. */
    public JsonLog() {
        System.setProperty(PROVIDER_PROPERTY, "ch.qos.logback.classic.spi.LogbackServiceProvider");
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(console);
        context.getLogger("petrelstand").setLevel(Level.INFO);
        logger = LoggerFactory.getLogger("petrelstand");
    }

    /**
     * Adds the version of the membership view to every line from now on. The supplier is called on the thread that
     * logs.
     */
    public void setViewVersion(LongSupplier version) {
        viewVersion = version;
    }

    /** Writes a line of the form "component: message". */
    @Override
    public void accept(String line) {
        int colon = line.indexOf(':');
        String component = colon > 0 ? line.substring(0, colon) : "gateway";
        LoggingEventBuilder event =
                logger.atInfo().addKeyValue("component", component.split(" ")[0]);
        (viewVersion == null ? event : event.addKeyValue("view", viewVersion.getAsLong())).log(line);
    }
}
