package petrelstand.lab;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import petrelstand.accounts.LatencyAttributor;
import petrelstand.accounts.LatencyHistory;
import petrelstand.core.Counters;
import petrelstand.core.Demand;
import petrelstand.core.Node;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.store.AccountsLog;
import petrelstand.store.AccountsRecord;

/**
 * What accounts cost: driven alone, in virtual time, with requests of many volumes at many nodes, whose answers come in
 * turn. CPU time is the thread's own; memory is what the heap holds after a collection, with the accounts and without.
 */
public final class AccountsCost {
    private AccountsCost() {}

    private record Out(long id, long endUs) {}

    /**
     * Plays so many virtual seconds and says what a request cost; records in a folder where one is given (else null).
     */
    public static String measure(int nodes, int volumes, int perSecond, int seconds, Path record)
            throws InterruptedException {
        SplittableRandom random = new SplittableRandom(1);
        Node[] all = new Node[nodes];
        for (int i = 0; i < nodes; i++) {
            all[i] = new Node("n" + i, "127.0.0.1:1", new NodeEntry(i + 1, 0, i, NodeState.READY, 1, 0));
        }
        long[] freeUs = new long[nodes];
        ArrayDeque<Out> out = new ArrayDeque<>();
        long before = used();
        LatencyHistory book = new LatencyHistory();
        LatencyAttributor accounts = new LatencyAttributor(2, 18_000, book);
        AccountsLog log = record == null
                ? null
                : AccountsLog.onDisk(
                        record,
                        new AccountsRecord.NameTable(
                                "lab",
                                List.of("tile-read", "survey-write", "bulk-export"),
                                List.of("basic", "priority")),
                        new Counters(),
                        Runnable::run,
                        System.err::println);
        if (log != null) {
            book.setListener(log);
        }
        var threads = java.lang.management.ManagementFactory.getThreadMXBean();
        long requests = (long) perSecond * seconds;
        long began = threads.getCurrentThreadCpuTime();
        long nowUs = 1_000_000_000L;
        for (long id = 1; id <= requests; id++) {
            nowUs += 1_000_000 / perSecond;
            int place = random.nextInt(nodes);
            double units = 1 + random.nextInt(4);
            while (!out.isEmpty() && (out.peekFirst().endUs <= nowUs || out.size() > 4 * nodes)) {
                Out over = out.removeFirst();
                accounts.attemptEnded(over.id, 0, Outcome.SERVED, nowUs);
                accounts.requestAnswered(over.id, true, nowUs);
                accounts.requestClosed(over.id, nowUs);
            }
            accounts.requestAccepted(
                    id,
                    new Demand(
                            random.nextInt(3),
                            random.nextInt(2),
                            id,
                            random.nextInt(volumes),
                            units,
                            place,
                            1,
                            false,
                            false,
                            1_500_000),
                    nowUs);
            accounts.attemptStarted(id, 0, all[place], false, nowUs);
            accounts.attemptWritten(id, 0, nowUs);
            freeUs[place] = Math.max(freeUs[place], nowUs) + (long) (units * 1_000_000L * nodes / perSecond / 4);
            out.addLast(new Out(id, freeUs[place]));
        }
        double us = (threads.getCurrentThreadCpuTime() - began) / 1000.0 / requests;
        long held = used() - before;
        if (log != null) {
            book.close();
            log.close(10_000);
        }
        return String.format(
                Locale.ROOT,
                "%d nodes, %d volumes, %d requests a second, %d s: %.2f us of CPU a request;"
                        + " %.2f MiB held; %d requests booked in the last minutes",
                nodes,
                volumes,
                perSecond,
                seconds,
                us,
                held / 1048576.0,
                (book.currentMinute() == null ? 0 : book.currentMinute().requests())
                        + (book.lastMinute() == null ? 0 : book.lastMinute().requests()));
    }

    private static long used() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
