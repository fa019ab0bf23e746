package petrelstand.members;

import java.util.SplittableRandom;

/** Questions sent and not yet answered, each under a nonce of its own. */
final class PendingRequests {
    /** Questions out at a time; the oldest goes first. */
    static final int MAX_ENTRIES = 256;

    /** What a question was sent for. */
    enum Purpose {
        /** A direct probe of a watched member. */
        PROBE,
        /** A probe that a relay was asked for. */
        INDIRECT_PROBE,
        /** A life is to prove that it lives now. */
        CHALLENGE,
        /** This process wants to join. */
        JOIN,
        /** A probe in another member's place. */
        RELAY
    }

    /**
     * A question that is out.
     *
     * @param name of the member asked about; empty where only its address is known
     * @param address asked; for a relay, who wants to know
     * @param origin for a relay the nonce of who wants to know; else 0
     */
    record PendingRequest(Purpose purpose, String name, String address, long requesterNonce) {}

    private final SplittableRandom random;
    private final LruMap<PendingRequest> requests = new LruMap<>(MAX_ENTRIES);

    PendingRequests(SplittableRandom random) {
        this.random = random;
    }

    /** Notes a question; gives the nonce to send it with. */
    long add(Purpose purpose, String name, String address, long requesterNonce) {
        long nonce = random.nextLong();
        requests.put(nonce, new PendingRequest(purpose, name, address, requesterNonce));
        return nonce;
    }

    /** The question of a nonce, which is answered by that; null where none is out. */
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
