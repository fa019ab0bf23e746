package petrelstand;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;
import petrelstand.http.RecentTxnIds;
import petrelstand.http.TxnIdSharing;
import petrelstand.store.TxnIdLog;

/**
 * Shares the ids of writes with the other processes of this gateway during a hot restart, through a {@link TxnIdLog} of
 * each process. An id is told before the others' are looked at, so that of two processes that claim one at the same
 * time at least one sees the other's claim. Used only by the loop's thread.
 */
final class SharedTxnIds implements TxnIdSharing {
    /** Processes whose ids are kept; one is replaced by the next, so that the oldest is gone for long. */
    private static final int MAX_OTHERS = 4;

    private final TxnIdLog own;
    private final LongSupplier loopClock;
    private final LongSupplier monotonicClock;
    /** In the order in which they were found. */
    private final ArrayDeque<OtherIds> others = new ArrayDeque<>();

    /** What another process has told, also once it is gone. */
    private record OtherIds(TxnIdLog log, RecentTxnIds ids) {
        void readNew(long nowUs) {
            log.readNew((idHash, untilUs) -> {
                if (untilUs == 0) {
                    ids.remove(idHash);
                } else {
                    ids.add(idHash, untilUs, nowUs);
                }
            });
        }
    }

    /**
     * Creates the sharing of a process.
     *
     * @param own the log of this process
     * @param loopClock time of the event loop's clock, in µs
     * @param monotonicClock time of the machine's monotonic clock, in µs
     */
    SharedTxnIds(TxnIdLog own, LongSupplier loopClock, LongSupplier monotonicClock) {
        this.own = own;
        this.loopClock = loopClock;
        this.monotonicClock = monotonicClock;
    }

    /** Adds the log of another process; what that one has told counts on after its end. */
    void addOther(TxnIdLog log) {
        if (others.size() == MAX_OTHERS) {
            others.removeFirst();
        }
        others.addLast(new OtherIds(log, new RecentTxnIds()));
    }

    @Override
    public boolean claim(long idHash, long untilUs) {
        own.append(idHash, toMonotonicUs(untilUs));
        long nowUs = monotonicClock.getAsLong();
        readOthers(nowUs);
        if (others.stream().anyMatch(other -> other.ids().contains(idHash, nowUs))) {
            own.append(idHash, 0);
            return false;
        }
        return true;
    }

    @Override
    public void release(long idHash, long untilUs) {
        own.append(idHash, untilUs == 0 ? 0 : toMonotonicUs(untilUs));
    }

    private long toMonotonicUs(long loopUs) {
        return loopUs - loopClock.getAsLong() + monotonicClock.getAsLong();
    }

    private void readOthers(long nowUs) {
        others.forEach(other -> other.readNew(nowUs));
    }
}
