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
import petrelstand.accounts.Accounts.Account;
import petrelstand.accounts.Accounts.Share;
import petrelstand.core.Demand;
import petrelstand.core.Node;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;

/** Waits and whose they are, on a node of one core whose reads take 10 ms a unit, by hand and in milliseconds. */
class AccountsTest {
    private static final int READ = 0;
    private static final int EXPORT = 2;
    private static final long READER = 0xa1;
    private static final long TEAM = 0xb0;
    private static final Cause SURGE = Cause.work(TEAM, EXPORT);
    private final List<Account> over = new ArrayList<>();
    private final Accounts accounts = new Accounts(1, 18_000, over::add);
    private Node node = node(0);
    private long nextId = 1;

    private static Node node(double startedMs) {
        return new Node("s-00000001", "127.0.0.1:1", new NodeEntry(1, 0, 3, NodeState.READY, 1, startedMs));
    }

    private static Demand demand(int kind, long volume, double units, boolean repeat) {
        return new Demand(kind, 0, 7, volume, units, 3, 1, repeat, false, 5_000_000);
    }

    /** Taken, sent and written at one time. */
    private long send(long atMs, int kind, long volume, double units) {
        return send(atMs, atMs, kind, volume, units, false);
    }

    private long send(long takenMs, long sentMs, int kind, long volume, double units, boolean repeat) {
        long id = nextId++;
        accounts.requestAccepted(id, demand(kind, volume, units, repeat), takenMs * 1000);
        accounts.attemptStarted(id, 0, node, false, sentMs * 1000);
        accounts.attemptWritten(id, 0, sentMs * 1000);
        return id;
    }

    private Account end(long id, long atMs, Outcome outcome) {
        return end(id, 0, atMs, outcome);
    }

    private Account end(long id, int attempt, long atMs, Outcome outcome) {
        accounts.attemptEnded(id, attempt, outcome, atMs * 1000);
        accounts.requestAnswered(id, outcome == Outcome.SERVED, atMs * 1000);
        accounts.requestClosed(id, atMs * 1000);
        Account account = over.get(over.size() - 1);
        assertEquals(id, account.request());
        return account;
    }

    private static long us(Account account, Cause cause) {
        return account.shares().stream()
                .filter(share -> share.cause().equals(cause))
                .mapToLong(Share::us)
                .sum();
    }

    /** Reads and exports that found nothing before them: from here on the node's usual times are known. */
    private long learn() {
        long at = 1_000_000;
        for (int i = 0; i < 20; i++) {
            end(send(at, READ, READER, 1), at + 10, Outcome.SERVED);
            end(send(at + 100, EXPORT, 0xe0, 4), at + 140, Outcome.SERVED);
            at += 1_000;
        }
        return at;
    }

    @Test
    void aReadBehindAnExportWaitedForIt() {
        long at = learn();
        long export = send(at, EXPORT, TEAM, 4);
        long read = send(at + 5, READ, READER, 1);
        end(export, at + 40, Outcome.SERVED);
        Account account = end(read, at + 50, Outcome.SERVED);
        assertEquals(10_000, account.servedUs());
        assertEquals(35_000, account.waitedUs());
        assertEquals(35_000, us(account, SURGE));
    }

    /** The read between two exports is there only since it waited for the first. */
    @Test
    void aDelayedBystanderIsNotBlamedButWhatDelayedIt() {
        long at = learn();
        long export = send(at, EXPORT, TEAM, 4);
        long bystander = send(at + 1, READ, 0xa2, 1);
        long read = send(at + 30, READ, READER, 1);
        end(export, at + 40, Outcome.SERVED);
        end(bystander, at + 50, Outcome.SERVED);
        Account account = end(read, at + 60, Outcome.SERVED);
        assertEquals(20_000, account.waitedUs());
        assertEquals(20_000, us(account, SURGE));
        assertEquals(0, us(account, Cause.work(0xa2, READ)));
    }

    @Test
    void aPauseASlowNodeAndUnseenWorkAreNotLaidOnWhoStoodAhead() {
        long at = learn();
        // A pause of 300 ms with two of ours there.
        long export = send(at, EXPORT, TEAM, 4);
        long read = send(at + 5, READ, READER, 1);
        end(export, at + 340, Outcome.SERVED);
        Account paused = end(read, at + 350, Outcome.SERVED);
        assertEquals(335_000, paused.waitedUs());
        assertTrue(us(paused, SURGE) <= 45_000, paused.toString());
        assertTrue(us(paused, Cause.NODE) >= 280_000, paused.toString());
        // Work that we do not see, once: our read was alone.
        at += 10_000;
        Account unseen = end(send(at, READ, READER, 1), at + 30, Outcome.SERVED);
        assertEquals(20_000, us(unseen, Cause.UNSEEN));
        // Slow for a while: even what finds nothing before it takes four times as long.
        for (int i = 0; i < 20; i++) {
            at += 1_000;
            end(send(at, READ, READER, 1), at + 40, Outcome.SERVED);
        }
        Account slow = end(send(at + 1_000, READ, READER, 1), at + 1_040, Outcome.SERVED);
        assertEquals(30_000, us(slow, Cause.NODE));
    }

    /** Given up does not mean gone: the node may yet serve it, and whoever comes next waits for it. */
    @Test
    void workThatWasGivenUpStandsAheadUntilEvidenceEndsIt() {
        long at = learn();
        long export = send(at, EXPORT, TEAM, 4);
        Account gaveUp = end(export, at + 2, Outcome.TIMED_OUT);
        assertEquals(2_000, us(gaveUp, Cause.NODE));
        Account after = end(send(at + 4, READ, READER, 1), at + 50, Outcome.SERVED);
        assertEquals(36_000, after.waitedUs());
        assertEquals(36_000, us(after, SURGE));
        // A refusal is evidence that it never ran.
        at += 10_000;
        long refused = send(at, EXPORT, TEAM, 4);
        end(refused, at + 1, Outcome.REJECTED);
        Account free = end(send(at + 2, READ, READER, 1), at + 32, Outcome.SERVED);
        assertEquals(0, us(free, SURGE));
        assertEquals(20_000, us(free, Cause.UNSEEN));
    }

    /** The client left while its attempt was out; its late answer is evidence all the same. */
    @Test
    void anAttemptCancelledWhileItRanStaysAheadUntilItsAnswer() {
        long at = learn();
        long export = send(at, EXPORT, TEAM, 4);
        accounts.requestAnswered(export, false, (at + 10) * 1000);
        long read = send(at + 12, READ, READER, 1);
        accounts.attemptEnded(export, 0, Outcome.SERVED, (at + 40) * 1000);
        accounts.requestClosed(export, (at + 40) * 1000);
        Account account = end(read, at + 50, Outcome.SERVED);
        assertEquals(28_000, us(account, SURGE));
    }

    @Test
    void aFurtherAttemptCountsWithItsFirst() {
        long at = learn();
        long id = send(at, READ, READER, 1);
        accounts.attemptEnded(id, 0, Outcome.ERROR, (at + 20) * 1000);
        accounts.attemptStarted(id, 1, node, false, (at + 25) * 1000);
        accounts.attemptWritten(id, 1, (at + 25) * 1000);
        Account account = end(id, 1, at + 35, Outcome.SERVED);
        assertEquals(2, account.attempts());
        assertEquals(35_000, account.totalUs());
        assertEquals(20_000, us(account, Cause.NODE));
        assertEquals(5_000, account.heldUs());
        assertEquals(5_000, us(account, Cause.WINDOW));
    }

    @Test
    void aClientsRepeatCountsWithItsFirstTryAndWhatCannotBeLinkedIsSaid() {
        long at = learn();
        long first = nextId++;
        accounts.requestAccepted(first, demand(READ, READER, 1, false), at * 1000);
        accounts.requestAnswered(first, false, at * 1000);
        accounts.requestClosed(first, at * 1000);
        Account second = end(send(at + 300, at + 300, READ, READER, 1, true), at + 310, Outcome.SERVED);
        assertEquals(300_000, second.awayUs());
        assertEquals(310_000, second.totalUs());
        assertEquals(0, accounts.unlinkedRepeats());
        end(send(at + 900, at + 900, READ, 0xcc, 1, true), at + 910, Outcome.SERVED);
        assertEquals(1, accounts.unlinkedRepeats());
    }

    @Test
    void whatOurOwnWindowHeldBackIsTheWorkThatFilledItOrTheWindows() {
        long at = learn();
        long export = send(at, EXPORT, TEAM, 4);
        end(export, at + 40, Outcome.SERVED);
        // Taken at 5, sent when the export was over and 20 ms more.
        Account account = end(send(at + 5, at + 60, READ, READER, 1, false), at + 70, Outcome.SERVED);
        assertEquals(55_000, account.heldUs());
        assertEquals(35_000, us(account, SURGE));
        assertEquals(20_000, us(account, Cause.WINDOW));
    }

    @Test
    void aNodeThatRestartsHasNothingAheadAndIsColdForAWhile() {
        long at = learn();
        for (int i = 0; i < 5; i++) {
            send(at, EXPORT, TEAM, 4);
        }
        node = node(at + 10);
        Account account = end(send(at + 20, READ, READER, 1), at + 60, Outcome.SERVED);
        assertEquals(0, us(account, SURGE));
        assertEquals(30_000, us(account, Cause.NODE));
    }

    @Test
    void aTransferStandsInNoQueue() {
        long at = learn();
        long transfer = nextId++;
        accounts.requestAccepted(transfer, demand(EXPORT, TEAM, 4, false), at * 1000);
        accounts.attemptStarted(transfer, 0, node, true, at * 1000);
        accounts.attemptWritten(transfer, 0, (at + 3) * 1000);
        Account read = end(send(at + 10, READ, READER, 1), at + 40, Outcome.SERVED);
        assertEquals(0, us(read, SURGE));
        Account account = end(transfer, at + 2_000, Outcome.SERVED);
        assertEquals(3_000, account.connectingUs());
        assertEquals(1_997_000, account.servedUs());
        assertEquals(List.of(), account.shares());
    }

    @Test
    void answersOutOfOrderAndTwoSurgesThatOverlap() {
        long at = learn();
        long first = send(at, EXPORT, TEAM, 4);
        long second = send(at + 1, EXPORT, 0xb1, 4);
        long read = send(at + 2, READ, READER, 1);
        end(second, at + 45, Outcome.SERVED);
        end(first, at + 80, Outcome.SERVED);
        Account account = end(read, at + 90, Outcome.SERVED);
        long work = us(account, SURGE) + us(account, Cause.work(0xb1, EXPORT));
        assertEquals(78_000, account.waitedUs());
        assertTrue(work > 40_000 && us(account, SURGE) > 0, account.toString());
    }

    /** Any history: the shares of a request add up to what it was held and waited, to the microsecond. */
    @Property(tries = 300)
    void theSharesOfARequestAddUpToItsWait(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int cores) {
        Random random = new Random(seed);
        List<Account> seen = new ArrayList<>();
        Accounts of = new Accounts(cores, 18_000, seen::add);
        Map<Long, Integer> open = new HashMap<>();
        Map<Long, Boolean> answered = new HashMap<>();
        long now = 1_000_000_000L;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(20_000);
            List<Long> ids = new ArrayList<>(open.keySet());
            long id = ids.isEmpty() ? 0 : ids.get(random.nextInt(ids.size()));
            switch (ids.isEmpty() || ids.size() < 8 && random.nextBoolean() ? 0 : 1 + random.nextInt(4)) {
                case 0 -> {
                    of.requestAccepted(
                            i + 1,
                            demand(random.nextInt(3), random.nextInt(6), 1 + random.nextInt(5), random.nextInt(9) == 0),
                            now);
                    open.put(i + 1L, -1);
                }
                case 1 -> {
                    int attempt = open.merge(id, 1, Integer::sum);
                    of.attemptStarted(
                            id,
                            attempt,
                            node(random.nextInt(30) == 0 ? now / 1000.0 : 0),
                            random.nextInt(20) == 0,
                            now);
                }
                case 2 -> of.attemptWritten(id, open.get(id), now);
                case 3 ->
                    of.attemptEnded(id, open.get(id), Outcome.values()[random.nextInt(Outcome.values().length)], now);
                default -> {
                    if (answered.put(id, true) == null) {
                        of.requestAnswered(id, random.nextBoolean(), now);
                    } else {
                        of.requestClosed(id, now);
                        open.remove(id);
                    }
                }
            }
        }
        for (Account account : seen) {
            assertEquals(
                    account.heldUs() + account.waitedUs(),
                    account.shares().stream().mapToLong(Share::us).sum(),
                    account.toString());
            assertTrue(account.shares().stream().allMatch(share -> share.us() > 0));
            assertTrue(account.servedUs() >= 0 && account.connectingUs() >= 0 && account.awayUs() >= 0);
        }
    }

    @Property(tries = 500)
    void aSplitLosesAndMakesNothing(
            @ForAll @LongRange(min = 0, max = 10_000_000_000L) long total,
            @ForAll @Size(min = 1, max = 20) List<@LongRange(min = 0, max = 10_000_000_000L) Long> weights) {
        long[] all = weights.stream().mapToLong(w -> w).toArray();
        all[0]++;
        long sum = java.util.Arrays.stream(all).sum();
        long[] parts = Split.exact(total, all);
        assertEquals(total, java.util.Arrays.stream(parts).sum());
        for (int i = 0; i < parts.length; i++) {
            assertEquals((double) total * all[i] / sum, parts[i], 2, "part " + i);
        }
    }

    /** A million volume names: the ledger stays as large as it was, the total exact, the heavy one within its error. */
    @Test
    void aFloodOfNamesLeavesTheLedgerAsLargeAsItWas() {
        Ledger ledger = new Ledger(512);
        Random random = new Random(5);
        Ledger.Cell heavy = new Ledger.Cell(1, READER, READ, SURGE);
        long heavyUs = 0;
        long total = 0;
        for (int i = 0; i < 1_000_000; i++) {
            ledger.add(new Ledger.Cell(1, i, READ, Cause.work(random.nextLong(), EXPORT)), 100);
            total += 100;
            if (i % 50 == 0) {
                ledger.add(heavy, 1_000);
                heavyUs += 1_000;
                total += 1_000;
            }
        }
        assertEquals(512, ledger.size());
        assertEquals(total, ledger.totalUs());
        Ledger.Entry first = ledger.entries().get(0);
        assertEquals(heavy, first.cell());
        assertTrue(first.us() >= heavyUs && first.us() - first.overUs() <= heavyUs, first.toString());
        assertTrue(first.overUs() <= total / 512, first.toString());
    }

    /** The same flood through the accounts: nodes, first tries and open requests are bounded. */
    @Test
    void aFloodOfVolumesAndNodesLeavesTheAccountsAsLargeAsTheyWere() {
        Accounts of = new Accounts(2, 18_000, account -> {});
        for (int i = 0; i < 50_000; i++) {
            Node to = new Node("n" + i, "127.0.0.1:1", new NodeEntry(i % 5_000, 0, 3, NodeState.READY, 1, 0));
            of.requestAccepted(i, demand(READ, i, 1, false), i * 1000L);
            of.attemptStarted(i, 0, to, false, i * 1000L);
            of.attemptWritten(i, 0, i * 1000L);
            of.attemptEnded(i, 0, Outcome.ERROR, i * 1000L + 500);
            of.requestAnswered(i, false, i * 1000L + 500);
            of.requestClosed(i, i * 1000L + 500);
        }
        assertTrue(of.size() <= Accounts.MOST_NODES + Accounts.MOST_FIRST_TRIES, "kept " + of.size());
    }
}
