package petrelstand.accounts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import petrelstand.accounts.LatencyAttributor.RequestLatency;
import petrelstand.accounts.LatencyAttributor.WaitShare;
import petrelstand.core.Demand;
import petrelstand.core.Node;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;

/** Guards against waits attributed to a wrong cause. The node has one core and takes 10 ms for a unit of a read. */
class LatencyAttributorTest {
    private static final int READ = 0;
    private static final int EXPORT = 2;
    private static final long READER = 0xa1;
    private static final long TEAM = 0xb0;
    private static final Cause EXPORT_WORK = Cause.work(TEAM, EXPORT);
    private final List<RequestLatency> finished = new ArrayList<>();
    private final LatencyAttributor attributor = new LatencyAttributor(1, 18_000, finished::add);
    private Node node = node(0);
    private long nextId = 1;

    private static Node node(double startedMs) {
        return new Node("s-00000001", "127.0.0.1:1", new NodeEntry(1, 0, 3, NodeState.READY, 1, startedMs));
    }

    private static Demand demand(int classIndex, long volume, double units, boolean repeat) {
        return new Demand(classIndex, 0, 7, volume, units, 3, 1, repeat, false, 5_000_000);
    }

    /** Accepts, sends and writes a request at the same time. */
    private long send(long atMs, int classIndex, long volume, double units) {
        return send(atMs, atMs, classIndex, volume, units, false);
    }

    private long send(long takenMs, long sentMs, int classIndex, long volume, double units, boolean repeat) {
        long id = nextId++;
        attributor.requestAccepted(id, demand(classIndex, volume, units, repeat), takenMs * 1000);
        attributor.attemptStarted(id, 0, node, false, sentMs * 1000);
        attributor.attemptWritten(id, 0, sentMs * 1000);
        return id;
    }

    private RequestLatency end(long id, long atMs, Outcome outcome) {
        return end(id, 0, atMs, outcome);
    }

    private RequestLatency end(long id, int attempt, long atMs, Outcome outcome) {
        attributor.attemptEnded(id, attempt, outcome, atMs * 1000);
        attributor.requestAnswered(id, outcome == Outcome.SERVED, atMs * 1000);
        attributor.requestClosed(id, atMs * 1000);
        RequestLatency account = finished.get(finished.size() - 1);
        assertEquals(id, account.request());
        return account;
    }

    private static long us(RequestLatency account, Cause cause) {
        return account.shares().stream()
                .filter(share -> share.cause().equals(cause))
                .mapToLong(WaitShare::us)
                .sum();
    }

    /** Runs single reads and exports so that the node's baseline times are known; returns the time after them. */
    private long learnBaselines() {
        long nextMs = 1_000_000;
        for (int i = 0; i < 20; i++) {
            end(send(nextMs, READ, READER, 1), nextMs + 10, Outcome.SERVED);
            end(send(nextMs + 100, EXPORT, 0xe0, 4), nextMs + 140, Outcome.SERVED);
            nextMs += 1_000;
        }
        return nextMs;
    }

    @Test
    void readBehindExportWaitsForExport() {
        long startMs = learnBaselines();
        long export = send(startMs, EXPORT, TEAM, 4);
        long read = send(startMs + 5, READ, READER, 1);
        end(export, startMs + 40, Outcome.SERVED);
        RequestLatency account = end(read, startMs + 50, Outcome.SERVED);
        assertEquals(10_000, account.servedUs());
        assertEquals(35_000, account.waitedUs());
        assertEquals(35_000, us(account, EXPORT_WORK));
    }

    /** A read still in the queue only because an export delayed it must not be blamed. */
    @Test
    void delayedRequestPassesBlameToItsDelayer() {
        long startMs = learnBaselines();
        long export = send(startMs, EXPORT, TEAM, 4);
        long bystander = send(startMs + 1, READ, 0xa2, 1);
        long read = send(startMs + 30, READ, READER, 1);
        end(export, startMs + 40, Outcome.SERVED);
        end(bystander, startMs + 50, Outcome.SERVED);
        RequestLatency account = end(read, startMs + 60, Outcome.SERVED);
        assertEquals(20_000, account.waitedUs());
        assertEquals(20_000, us(account, EXPORT_WORK));
        assertEquals(0, us(account, Cause.work(0xa2, READ)));
    }

    @Test
    void pauseSlowNodeAndUnseenWorkAreNotBlamedOnQueue() {
        long startMs = learnBaselines();
        // The node pauses for 300 ms with two requests outstanding.
        long export = send(startMs, EXPORT, TEAM, 4);
        long read = send(startMs + 5, READ, READER, 1);
        end(export, startMs + 340, Outcome.SERVED);
        RequestLatency paused = end(read, startMs + 350, Outcome.SERVED);
        assertEquals(335_000, paused.waitedUs());
        assertTrue(us(paused, EXPORT_WORK) <= 45_000, paused.toString());
        assertTrue(us(paused, Cause.NODE) >= 280_000, paused.toString());
        // Unseen work delays a read that is alone.
        startMs += 10_000;
        RequestLatency unseen = end(send(startMs, READ, READER, 1), startMs + 30, Outcome.SERVED);
        assertEquals(20_000, us(unseen, Cause.UNSEEN));
        // On a slow node even reads that find it idle take four times as long.
        for (int i = 0; i < 20; i++) {
            startMs += 1_000;
            end(send(startMs, READ, READER, 1), startMs + 40, Outcome.SERVED);
        }
        RequestLatency slow = end(send(startMs + 1_000, READ, READER, 1), startMs + 1_040, Outcome.SERVED);
        assertEquals(30_000, us(slow, Cause.NODE));
    }

    /** The node may still run a request that timed out, so later ones wait for it. */
    @Test
    void timedOutWorkStaysInModelUntilAnswered() {
        long startMs = learnBaselines();
        long export = send(startMs, EXPORT, TEAM, 4);
        RequestLatency gaveUp = end(export, startMs + 2, Outcome.TIMED_OUT);
        assertEquals(2_000, us(gaveUp, Cause.NODE));
        RequestLatency after = end(send(startMs + 4, READ, READER, 1), startMs + 50, Outcome.SERVED);
        assertEquals(36_000, after.waitedUs());
        assertEquals(36_000, us(after, EXPORT_WORK));
        // A rejected request never ran.
        startMs += 10_000;
        long refused = send(startMs, EXPORT, TEAM, 4);
        end(refused, startMs + 1, Outcome.REJECTED);
        RequestLatency free = end(send(startMs + 2, READ, READER, 1), startMs + 32, Outcome.SERVED);
        assertEquals(0, us(free, EXPORT_WORK));
        assertEquals(20_000, us(free, Cause.UNSEEN));
    }

    /** A late answer still ends the job of a request whose client is gone. */
    @Test
    void cancelledAttemptStaysInModelUntilAnswered() {
        long startMs = learnBaselines();
        long export = send(startMs, EXPORT, TEAM, 4);
        attributor.requestAnswered(export, false, (startMs + 10) * 1000);
        long read = send(startMs + 12, READ, READER, 1);
        attributor.attemptEnded(export, 0, Outcome.SERVED, (startMs + 40) * 1000);
        attributor.requestClosed(export, (startMs + 40) * 1000);
        RequestLatency account = end(read, startMs + 50, Outcome.SERVED);
        assertEquals(28_000, us(account, EXPORT_WORK));
    }

    @Test
    void secondAttemptIsAddedToTheSameRequest() {
        long startMs = learnBaselines();
        long id = send(startMs, READ, READER, 1);
        attributor.attemptEnded(id, 0, Outcome.ERROR, (startMs + 20) * 1000);
        attributor.attemptStarted(id, 1, node, false, (startMs + 25) * 1000);
        attributor.attemptWritten(id, 1, (startMs + 25) * 1000);
        RequestLatency account = end(id, 1, startMs + 35, Outcome.SERVED);
        assertEquals(2, account.attempts());
        assertEquals(35_000, account.totalUs());
        assertEquals(20_000, us(account, Cause.NODE));
        assertEquals(5_000, account.heldUs());
        assertEquals(5_000, us(account, Cause.WINDOW));
    }

    @Test
    void clientRetryIsLinkedAndUnknownRetryCounted() {
        long startMs = learnBaselines();
        long first = nextId++;
        attributor.requestAccepted(first, demand(READ, READER, 1, false), startMs * 1000);
        attributor.requestAnswered(first, false, startMs * 1000);
        attributor.requestClosed(first, startMs * 1000);
        RequestLatency second =
                end(send(startMs + 300, startMs + 300, READ, READER, 1, true), startMs + 310, Outcome.SERVED);
        assertEquals(300_000, second.earlierTriesUs());
        assertEquals(310_000, second.totalUs());
        assertEquals(0, attributor.unlinkedRetries());
        end(send(startMs + 900, startMs + 900, READ, 0xcc, 1, true), startMs + 910, Outcome.SERVED);
        assertEquals(1, attributor.unlinkedRetries());
    }

    @Test
    void heldTimeGoesToWorkThenToWindow() {
        long startMs = learnBaselines();
        long export = send(startMs, EXPORT, TEAM, 4);
        end(export, startMs + 40, Outcome.SERVED);
        // Accepted at 5 ms, sent 20 ms after the export ended.
        RequestLatency account =
                end(send(startMs + 5, startMs + 60, READ, READER, 1, false), startMs + 70, Outcome.SERVED);
        assertEquals(55_000, account.heldUs());
        assertEquals(35_000, us(account, EXPORT_WORK));
        assertEquals(20_000, us(account, Cause.WINDOW));
    }

    @Test
    void restartedNodeHasEmptyQueueAndIsCold() {
        long startMs = learnBaselines();
        for (int i = 0; i < 5; i++) {
            send(startMs, EXPORT, TEAM, 4);
        }
        node = node(startMs + 10);
        RequestLatency account = end(send(startMs + 20, READ, READER, 1), startMs + 60, Outcome.SERVED);
        assertEquals(0, us(account, EXPORT_WORK));
        assertEquals(30_000, us(account, Cause.NODE));
    }

    @Test
    void streamedTransferIsNotQueued() {
        long startMs = learnBaselines();
        long transfer = nextId++;
        attributor.requestAccepted(transfer, demand(EXPORT, TEAM, 4, false), startMs * 1000);
        attributor.attemptStarted(transfer, 0, node, true, startMs * 1000);
        attributor.attemptWritten(transfer, 0, (startMs + 3) * 1000);
        RequestLatency read = end(send(startMs + 10, READ, READER, 1), startMs + 40, Outcome.SERVED);
        assertEquals(0, us(read, EXPORT_WORK));
        RequestLatency account = end(transfer, startMs + 2_000, Outcome.SERVED);
        assertEquals(3_000, account.connectingUs());
        assertEquals(1_997_000, account.servedUs());
        assertEquals(List.of(), account.shares());
    }

    @Test
    void outOfOrderAnswersOfTwoOverlappingExports() {
        long startMs = learnBaselines();
        long first = send(startMs, EXPORT, TEAM, 4);
        long second = send(startMs + 1, EXPORT, 0xb1, 4);
        long read = send(startMs + 2, READ, READER, 1);
        end(second, startMs + 45, Outcome.SERVED);
        end(first, startMs + 80, Outcome.SERVED);
        RequestLatency account = end(read, startMs + 90, Outcome.SERVED);
        long work = us(account, EXPORT_WORK) + us(account, Cause.work(0xb1, EXPORT));
        assertEquals(78_000, account.waitedUs());
        assertTrue(work > 40_000 && us(account, EXPORT_WORK) > 0, account.toString());
    }

    /** For any sequence of events the shares add up exactly to the held and waited time. */
    @Property(tries = 300)
    void sharesAddUpToHeldAndWaitedTime(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int cores) {
        Random random = new Random(seed);
        List<RequestLatency> seen = new ArrayList<>();
        LatencyAttributor attributor = new LatencyAttributor(cores, 18_000, seen::add);
        Map<Long, Integer> attemptsByRequest = new HashMap<>();
        Map<Long, Boolean> answered = new HashMap<>();
        long now = 1_000_000_000L;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(20_000);
            List<Long> ids = new ArrayList<>(attemptsByRequest.keySet());
            long id = ids.isEmpty() ? 0 : ids.get(random.nextInt(ids.size()));
            switch (ids.isEmpty() || ids.size() < 8 && random.nextBoolean() ? 0 : 1 + random.nextInt(4)) {
                case 0 -> {
                    attributor.requestAccepted(
                            i + 1,
                            demand(random.nextInt(3), random.nextInt(6), 1 + random.nextInt(5), random.nextInt(9) == 0),
                            now);
                    attemptsByRequest.put(i + 1L, -1);
                }
                case 1 -> {
                    int attempt = attemptsByRequest.merge(id, 1, Integer::sum);
                    attributor.attemptStarted(
                            id,
                            attempt,
                            node(random.nextInt(30) == 0 ? now / 1000.0 : 0),
                            random.nextInt(20) == 0,
                            now);
                }
                case 2 -> attributor.attemptWritten(id, attemptsByRequest.get(id), now);
                case 3 ->
                    attributor.attemptEnded(
                            id,
                            attemptsByRequest.get(id),
                            Outcome.values()[random.nextInt(Outcome.values().length)],
                            now);
                default -> {
                    if (answered.put(id, true) == null) {
                        attributor.requestAnswered(id, random.nextBoolean(), now);
                    } else {
                        attributor.requestClosed(id, now);
                        attemptsByRequest.remove(id);
                    }
                }
            }
        }
        for (RequestLatency account : seen) {
            assertEquals(
                    account.heldUs() + account.waitedUs(),
                    account.shares().stream().mapToLong(WaitShare::us).sum(),
                    account.toString());
            assertTrue(account.shares().stream().allMatch(share -> share.us() > 0));
            assertTrue(account.servedUs() >= 0 && account.connectingUs() >= 0 && account.earlierTriesUs() >= 0);
        }
    }

    @Property(tries = 500)
    void splitKeepsTotalAndProportions(
            @ForAll @LongRange(min = 0, max = 10_000_000_000L) long total,
            @ForAll @Size(min = 1, max = 20) List<@LongRange(min = 0, max = 10_000_000_000L) Long> weights) {
        long[] positiveWeights = weights.stream().mapToLong(w -> w).toArray();
        positiveWeights[0]++;
        long sum = java.util.Arrays.stream(positiveWeights).sum();
        long[] parts = ProportionalSplit.split(total, positiveWeights);
        assertEquals(total, java.util.Arrays.stream(parts).sum());
        for (int i = 0; i < parts.length; i++) {
            assertEquals((double) total * positiveWeights[i] / sum, parts[i], 2, "part " + i);
        }
    }

    /** With a million volumes the size stays bounded, the total exact and the largest wait within its error. */
    @Test
    void manyVolumesKeepTopWaitsBounded() {
        TopWaits topWaits = new TopWaits(512);
        Random random = new Random(5);
        TopWaits.WaitKey heavy = new TopWaits.WaitKey(1, READER, READ, EXPORT_WORK);
        long heavyUs = 0;
        long total = 0;
        for (int i = 0; i < 1_000_000; i++) {
            topWaits.add(new TopWaits.WaitKey(1, i, READ, Cause.work(random.nextLong(), EXPORT)), 100);
            total += 100;
            if (i % 50 == 0) {
                topWaits.add(heavy, 1_000);
                heavyUs += 1_000;
                total += 1_000;
            }
        }
        assertEquals(512, topWaits.size());
        assertEquals(total, topWaits.totalWaitUs());
        TopWaits.Entry first = topWaits.entries().get(0);
        assertEquals(heavy, first.key());
        assertTrue(first.waitUs() >= heavyUs && first.waitUs() - first.maxErrorUs() <= heavyUs, first.toString());
        assertTrue(first.maxErrorUs() <= total / 512, first.toString());
    }

    /** Nodes, unserved requests and open requests stay bounded. */
    @Test
    void manyVolumesAndNodesKeepAttributorBounded() {
        LatencyAttributor attributor = new LatencyAttributor(2, 18_000, account -> {});
        for (int i = 0; i < 50_000; i++) {
            Node to = new Node("n" + i, "127.0.0.1:1", new NodeEntry(i % 5_000, 0, 3, NodeState.READY, 1, 0));
            attributor.requestAccepted(i, demand(READ, i, 1, false), i * 1000L);
            attributor.attemptStarted(i, 0, to, false, i * 1000L);
            attributor.attemptWritten(i, 0, i * 1000L);
            attributor.attemptEnded(i, 0, Outcome.ERROR, i * 1000L + 500);
            attributor.requestAnswered(i, false, i * 1000L + 500);
            attributor.requestClosed(i, i * 1000L + 500);
        }
        assertTrue(
                attributor.size() <= LatencyAttributor.MAX_NODES + LatencyAttributor.MAX_UNSERVED_REQUESTS,
                "kept " + attributor.size());
    }
}
