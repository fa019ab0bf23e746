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
 * Log lines as JSON on standard output, one object a line, by Logback. The text of a line is the same as in the text
 * form; what stands before its first colon is its {@code component} as well. Lines of the libraries come in the same
 * form. Nothing of this class or of Logback is loaded where lines are text.
 */
public final class JsonLog implements Consumer<String> {
    private static final String PROVIDER = "slf4j.provider";
    private final Logger logger;
    private LongSupplier setViewVersion;

    /** Must be made before anything has asked SLF4J for a logger: the provider is chosen once. */
    public JsonLog() {
        System.setProperty(PROVIDER, "ch.qos.logback.classic.spi.LogbackServiceProvider");
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

    /** Every line from now on carries the version of a view, read on whatever thread the line comes from. */
    public void setViewVersion(LongSupplier version) {
        setViewVersion = version;
    }

    @Override
    public void accept(String line) {
        int colon = line.indexOf(':');
        String component = colon > 0 ? line.substring(0, colon) : "gateway";
        LoggingEventBuilder event =
                logger.atInfo().addKeyValue("component", component.split(" ")[0]);
        (setViewVersion == null ? event : event.addKeyValue("view", setViewVersion.getAsLong())).log(line);
    }
}
