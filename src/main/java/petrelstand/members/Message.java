package petrelstand.members;

import java.util.List;

/** What members say to each other. News are claims that ride along, the newest first, at most {@link #MOST_NEWS}. */
public sealed interface Message {
    /** Claims in one message: with this many a message stays within one datagram of 1,400 bytes. */
    int MOST_NEWS = 6;
    /** Parts that the digest of a view is told in, so that two gateways can say where theirs differ. */
    int BUCKETS = 16;

    /** Asks for an {@link Ack}; the nonce is the asker's own, so no old answer passes for a new one. */
    record Ping(long nonce, long digest, List<Member> news) implements Message {}

    /** Answers; {@code of} names another life that the sender heard from in the asker's place, or is empty and 0. */
    record Ack(long nonce, long digest, String of, long ofBoot, List<Member> news) implements Message {}

    /** Asks the receiver to ping another in the sender's place. */
    record Ask(long nonce, String name, String address) implements Message {}

    /** Asks whether the name is free. */
    record Join(long nonce, Member self) implements Message {}

    /** The answer to {@link Join}; the holder of the name, as the sender knows it, or null. */
    record Answer(long nonce, boolean welcome, Member holder) implements Message {}

    /** The parts of the sender's digest; the receiver sends what it holds where they differ. */
    record Digests(List<Long> buckets, boolean answer) implements Message {}

    /** Claims alone. */
    record News(List<Member> news) implements Message {}

    /**
     * A message with its sender.
     *
     * @param sequence grows with each message of a life; a smaller or known one is a repeat
     */
    record Envelope(String fleet, String name, long boot, long incarnation, String address, long sequence,
            Message message) {}
}
