package petrelstand.http;

import java.util.HashSet;
import java.util.Set;
import petrelstand.core.Exchange;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.RequestClass;

/**
 * Which ids of requests can't be taken: those of open requests, and those of closed ones that may have run and must not
 * run again. Times are microseconds of the event loop's clock. Not thread-safe.
 */
final class TxnIds {
    /** Ids of the requests that are open or have an attempt in progress. */
    private final Set<String> open = new HashSet<>();

    private final RecentTxnIds recent = new RecentTxnIds();
    private TxnIdSharing sharing = TxnIdSharing.NONE;

    /** Sets how the ids of classes that may not simply be repeated are shared with this gateway's other processes. */
    void setSharing(TxnIdSharing newSharing) {
        sharing = newSharing;
    }

    /**
     * Claims an id for a request; returns false if it can't be taken now.
     *
     * @param timeLeftUs how long the request may stay open
     */
    boolean claim(String id, RequestClass requestClass, long timeLeftUs, long nowUs) {
        if (requestClass.effect() == Effect.REPEATABLE) {
            return open.add(id);
        }
        long hash = RecentTxnIds.hash(id);
        if (recent.contains(hash, nowUs) || !open.add(id)) {
            return false;
        }
        if (!sharing.claim(hash, nowUs + timeLeftUs + Exchange.repeatWindowUs(requestClass))) {
            open.remove(id);
            return false;
        }
        return true;
    }

    /**
     * Ends the claim on an id.
     *
     * @param untilUs until when it can't be taken again; 0 if it can be at once
     */
    void release(String id, RequestClass requestClass, long untilUs, long nowUs) {
        open.remove(id);
        if (requestClass.effect() == Effect.REPEATABLE) {
            return;
        }
        long hash = RecentTxnIds.hash(id);
        if (untilUs > 0) {
            recent.add(hash, untilUs, nowUs);
        }
        sharing.release(hash, untilUs);
    }

    int openCount() {
        return open.size();
    }

    int recentCount() {
        return recent.size();
    }
}
