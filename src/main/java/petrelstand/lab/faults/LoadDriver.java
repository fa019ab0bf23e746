package petrelstand.lab.faults;

import com.google.gson.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Clients of each gateway: so many reads a second at even times, and by second how many were asked and served. */
final class LoadDriver implements AutoCloseable {
    private static final int MOST_OPEN = 200;
    private static final Duration PATIENCE = Duration.ofMillis(3000);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(1000))
            .build();
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLong number = new AtomicLong();
    private final Consumer<JsonObject> record;
    private volatile boolean ended;

    /** Lines go to {@code record}, one a second and gateway, from several threads. */
    LoadDriver(Consumer<JsonObject> record) {
        this.record = record;
    }

    /** Begins to ask a gateway. */
    void ask(String process, String address, int perSecond, int nodes) {
        if (perSecond == 0) {
            return;
        }
        Thread thread = new Thread(
                () -> {
                    Semaphore open = new Semaphore(MOST_OPEN);
                    long next = System.nanoTime();
                    while (!ended) {
                        AtomicLong asked = new AtomicLong();
                        AtomicLong served = new AtomicLong();
                        AtomicLong refused = new AtomicLong();
                        AtomicLong left = new AtomicLong(perSecond);
                        long beganUs = FaultPoint.nowUs();
                        for (int i = 0; i < perSecond && !ended; i++) {
                            next += 1_000_000_000L / perSecond;
                            sleepUntil(next);
                            asked.incrementAndGet();
                            if (!open.tryAcquire()) {
                                left.decrementAndGet();
                                continue;
                            }
                            long n = number.incrementAndGet();
                            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/tile-read/"
                                            + String.format("%016x/%016x", n % 16, n)))
                                    .timeout(PATIENCE)
                                    .header("X-Txn", "l" + n)
                                    .header("X-Qos-Policy", "basic")
                                    .header("X-Remaining-Ms", "1500")
                                    .header("X-Placement", "units=1,shard=" + n % nodes + ",hosts=1")
                                    .build();
                            client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                                    .whenComplete((answer, fault) -> {
                                        open.release();
                                        if (fault == null && answer.statusCode() == 200) {
                                            served.incrementAndGet();
                                        } else if (fault == null
                                                && (answer.statusCode() == 429 || answer.statusCode() == 503)) {
                                            refused.incrementAndGet();
                                        }
                                        if (left.decrementAndGet() == 0) {
                                            tell(process, beganUs, asked.get(), served.get(), refused.get());
                                        }
                                    });
                        }
                    }
                },
                "load-" + process);
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
    }

    private void tell(String process, long beganUs, long asked, long served, long refused) {
        JsonObject line = new JsonObject();
        line.addProperty("event", "load");
        line.addProperty("process", process);
        line.addProperty("from_us", beganUs);
        line.addProperty("asked", asked);
        line.addProperty("served", served);
        line.addProperty("refused", refused);
        record.accept(line);
    }

    private static void sleepUntil(long nanos) {
        try {
            long wait = nanos - System.nanoTime();
            if (wait > 0) {
                Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        ended = true;
        threads.forEach(Thread::interrupt);
    }
}
