package petrelstand.lab.faults;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import petrelstand.agreement.RulesMessage;
import petrelstand.fleet.RulesClient;

/** An operator who changes the rules of a trial's gateways again and again, and says what was answered. */
final class RulesDriver implements AutoCloseable {
    /** No change is proposed in the last stretch of a trial, so that all can come to act on the last one. */
    static final long SETTLE_US = 13_000_000;

    private static final long PATIENCE_MS = 3_000;

    private final Consumer<JsonObject> record;
    private volatile boolean ended;
    private Thread thread;

    RulesDriver(Consumer<JsonObject> record) {
        this.record = record;
    }

    /** Proposes a version each pause: limits of a half and of four fifths of what is asked a second, in turn. */
    void change(String fleet, String key, List<String> gateways, long everyUs, int askedPerSecond, int among) {
        thread = new Thread(
                () -> {
                    try (RulesClient client = new RulesClient(
                            fleet, List.of(HexFormat.of().parseHex(key.strip())), gateways, "127.0.0.1")) {
                        long base = 0;
                        for (int n = 1; !ended; n++) {
                            long units = Math.max(1, askedPerSecond * (n % 2 == 0 ? 5L : 8L) / 10);
                            String text =
                                    "# change " + n + "\n[fleet]\ngateways = " + among + "\n[limit basic]\nunits = "
                                            + units + "\nfloor = " + Math.max(1, units / 10) + "\n";
                            JsonObject line = line("proposed", n, base, "");
                            record.accept(line);
                            RulesMessage.RequestAnswer taken =
                                    client.propose(base, "trial", "change " + n, text, PATIENCE_MS);
                            record.accept(line(
                                    taken == null ? "unknown" : taken.error().isEmpty() ? "agreed" : "refused",
                                    n,
                                    taken == null ? 0 : taken.version(),
                                    taken == null ? "" : taken.error()));
                            if (taken != null
                                    && (taken.error().isEmpty() || taken.error().startsWith("it is based on"))) {
                                base = taken.version();
                            }
                            Thread.sleep(everyUs / 1000);
                        }
                    } catch (IOException e) {
                        record.accept(line("driver failed", 0, 0, String.valueOf(e.getMessage())));
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "rules-driver");
        thread.setDaemon(true);
        thread.start();
    }

    private static JsonObject line(String event, int change, long version, String fault) {
        JsonObject line = new JsonObject();
        line.addProperty("event", event);
        line.addProperty("mono_us", FaultPoint.nowUs());
        line.addProperty("change", change);
        line.addProperty("version", version);
        line.addProperty("fault", fault);
        return line;
    }

    /** Keeps what a gateway says of its rules at the end, in a file; nothing where it is not there. */
    void keep(String process, String address, Path file) throws InterruptedException {
        try {
            HttpResponse<String> answer = HttpClient.newBuilder()
                    .connectTimeout(Duration.ofSeconds(1))
                    .build()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + address + "/rules"))
                                    .timeout(Duration.ofSeconds(2))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() == 200) {
                Files.writeString(file, answer.body());
            }
        } catch (IOException e) {
            // It was ended by the plan.
        }
    }

    /** Proposes nothing more. */
    void end() {
        ended = true;
    }

    @Override
    public void close() {
        ended = true;
        if (thread != null) {
            thread.interrupt();
        }
    }
}
