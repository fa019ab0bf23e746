package petrelstand.members;

import java.util.List;

/** What members say to each other. News are claims that ride along, as many as {@link #fits} lets in. */
public sealed interface Message {
    /**
     * Claims in one message at most, and what they may take together, so that it stays within a datagram of 1,400
     * bytes.
     */
    int MOST_NEWS = 16;

    int MOST_NEWS_BYTES = 1100;
    /** What a claim takes beside its texts: numbers of up to 9 bytes, and a head of up to 2 for each text and list. */
    int CLAIM_BYTES = 42;
    /** Parts that the digest of a view is told in, so that two gateways can say where theirs differ. */
    int BUCKETS = 16;

    /** Asks for an {@link Ack}; the nonce is the asker's own, so no old answer passes for a new one. */
    record Ping(long nonce, long digest, List<Member> news) implements Message {}

    /** Answers; {@code of} names another life that the sender heard from in the asker's place, or is empty and 0. */
    record Ack(long nonce, long digest, String of, long ofBoot, List<Member> news) implements Message {}

    /** Asks the receiver to ping another in the sender's place. */
    record PingRequest(long nonce, String name, String address) implements Message {}

    /** Asks whether the name is free. */
    record JoinRequest(long nonce, Member self) implements Message {}

    /**
     * The answer to {@link JoinRequest}; the holder of the name, as the sender knows it, or null, and some members that
     * are there, so that newcomers spread what they ask over the fleet and not over its seeds alone.
     */
    record JoinResponse(long nonce, boolean welcome, Member holder, List<Member> some) implements Message {}

    /** The parts of the sender's digest; the receiver sends what it holds where they differ. */
    record DigestBuckets(List<Long> buckets, boolean answer) implements Message {}

    /** Claims alone. */
    record Gossip(List<Member> news) implements Message {}

    /** How many of the claims from a place on fit into one message; one always does. */
    static int fits(List<Member> claims, int from) {
        int bytes = 0;
        int many = 0;
        while (many < MOST_NEWS && from + many < claims.size()) {
            bytes += size(claims.get(from + many));
            if (many > 0 && bytes > MOST_NEWS_BYTES) {
                break;
            }
            many++;
        }
        return many;
    }

    /** Bytes that a claim takes at most; names and addresses are ASCII. */
    static int size(Member claim) {
        int bytes = CLAIM_BYTES
                + claim.name().length()
                + claim.address().length()
                + claim.accuser().length()
                + claim.programVersion().length();
        for (String ability : claim.abilities()) {
            bytes += 2 + ability.length();
        }
        return bytes;
    }

    /**
     * A message with its sender.
     *
     * @param sequence grows with each message of a life; a smaller or known one is a repeat
     */
    record Envelope(
            String fleet,
            String senderName,
            long senderBootId,
            long senderIncarnation,
            String senderAddress,
            long sequence,
            Message message) {}
}
