package petrelstand.members;

import java.util.SplittableRandom;

/** Requests sent and not yet answered, by nonce. */
final class PendingRequests {
    /** Maximum number of pending requests; the oldest is evicted. */
    static final int MAX_ENTRIES = 256;

    /** Why a request was sent. */
    enum Purpose {
        /** A direct probe of a watched member. */
        PROBE,
        /** A probe through a relay. */
        INDIRECT_PROBE,
        /** Asks a process to prove that it is running now. */
        CHALLENGE,
        /** A join request of this process. */
        JOIN,
        /** A probe on behalf of another member. */
        RELAY
    }

    /**
     * A request that awaits its answer.
     *
     * @param name name of the probed member; empty if only its address is known
     * @param address address of the probed member; for {@link Purpose#RELAY} that of the requester
     * @param requesterNonce the requester's nonce for {@link Purpose#RELAY}; else 0
     */
    record PendingRequest(Purpose purpose, String name, String address, long requesterNonce) {}

    private final SplittableRandom random;
    private final LruMap<PendingRequest> requests = new LruMap<>(MAX_ENTRIES);

    PendingRequests(SplittableRandom random) {
        this.random = random;
    }

    /** Adds a request and returns the nonce to send it with. */
    long add(Purpose purpose, String name, String address, long requesterNonce) {
        long nonce = random.nextLong();
        requests.put(nonce, new PendingRequest(purpose, name, address, requesterNonce));
        return nonce;
    }

    /** Removes and returns the request with a nonce, or returns null. */
    PendingRequest remove(long nonce) {
        return requests.remove(nonce);
    }

    void clear() {
        requests.clear();
    }

    int size() {
        return requests.size();
    }
}
