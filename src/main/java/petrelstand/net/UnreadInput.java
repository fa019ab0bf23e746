package petrelstand.net;

/** An end point that knows what its connection has not read. */
public interface UnreadInput {
    /** Bytes that have arrived and are not read; 0 where that is not known. */
    int unreadBytes();

    /** Whether a read that returned 0 bytes may have left some, because the turn's limit was used up. */
    boolean isReadLimited();

    /**
     * A time at which no input had arrived that the connection has not been told of, in microseconds of the loop's
     * clock; the connection itself had not come up if it has never read all input. {@link Long#MAX_VALUE} where input
     * is told as it arrives.
     */
    long quietUs();
}
