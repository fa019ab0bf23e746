package petrelstand.members;

import java.util.List;

/**
 * A message between members. Updates are piggybacked on some kinds, up to the bounds that {@link #countFitting}
 * applies.
 */
public sealed interface Message {
    /** Maximum number of updates in one message. */
    int MAX_UPDATES = 16;

    /** Maximum encoded size of all updates in one message, which keeps a datagram within 1400 bytes. */
    int MAX_UPDATES_BYTES = 1100;
    /** Encoded size of an update besides its texts: integers of up to 9 bytes and text and list headers of up to 2. */
    int UPDATE_OVERHEAD_BYTES = 42;
    /** Number of buckets of a view digest; comparing them narrows a difference down to some members. */
    int DIGEST_BUCKET_COUNT = 16;

    /** Asks for an {@link Ack} with the same nonce; a fresh nonce keeps replayed answers from being accepted. */
    record Ping(long nonce, long digest, List<Member> updates) implements Message {}

    /**
     * Answers a {@link Ping} or {@link PingRequest}.
     *
     * @param subjectName the member that answered the relayed probe; empty if the sender answers for itself
     * @param subjectBootId the boot ID of that member, else 0
     */
    record Ack(long nonce, long digest, String subjectName, long subjectBootId, List<Member> updates)
            implements Message {}

    /** Asks the receiver to ping another member on the sender's behalf (SWIM's ping-req). */
    record PingRequest(long nonce, String targetName, String targetAddress) implements Message {}

    /** Asks to join under the joiner's name. */
    record JoinRequest(long nonce, Member joiner) implements Message {}

    /**
     * Answers a {@link JoinRequest}.
     *
     * @param nameHolder the member with the joiner's name as the sender knows it, or null
     * @param sampleMembers some present members, so that joiners fetch the view from others than the seeds
     */
    record JoinResponse(long nonce, boolean accepted, Member nameHolder, List<Member> sampleMembers)
            implements Message {}

    /**
     * The sender's digest buckets; the receiver sends its members of those buckets that differ.
     *
     * @param replyRequested whether the receiver shall send its own buckets in return
     */
    record DigestBuckets(List<Long> buckets, boolean replyRequested) implements Message {}

    /** Updates alone. */
    record Gossip(List<Member> updates) implements Message {}

    /** How many of the updates from an index on fit into one message; at least one if there are any. */
    static int countFitting(List<Member> updates, int start) {
        int bytes = 0;
        int count = 0;
        while (count < MAX_UPDATES && start + count < updates.size()) {
            bytes += maxEncodedBytes(updates.get(start + count));
            if (count > 0 && bytes > MAX_UPDATES_BYTES) {
                break;
            }
            count++;
        }
        return count;
    }

    /** Upper bound of an update's encoded size in bytes; its texts are ASCII. */
    static int maxEncodedBytes(Member update) {
        int bytes = UPDATE_OVERHEAD_BYTES
                + update.name().length()
                + update.address().length()
                + update.accuser().length()
                + update.programVersion().length();
        for (String ability : update.abilities()) {
            bytes += 2 + ability.length();
        }
        return bytes;
    }

    /**
     * A message with its sender.
     *
     * @param fleet name of the fleet that the sender belongs to
     * @param sequence raised by the sender with each message, so that receivers can drop replayed ones
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
