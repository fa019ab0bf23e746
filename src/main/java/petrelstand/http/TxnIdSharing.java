package petrelstand.http;

/**
 * Tells the other processes of a gateway of the ids that this one has taken, and asks for theirs. Ids are told as
 * 64-bit hashes. Times are microseconds of the event loop's clock; calls come from the loop's thread.
 */
public interface TxnIdSharing {
    /** For a process that is alone. */
    TxnIdSharing NONE = new TxnIdSharing() {
        @Override
        public boolean claim(long idHash, long untilUs) {
            return true;
        }

        @Override
        public void release(long idHash, long untilUs) {}
    };

    /**
     * Claims an id until a time at the latest; returns false if another process has it.
     *
     * @param untilUs when the id may be taken again if this process is killed
     */
    boolean claim(long idHash, long untilUs);

    /**
     * Ends a claim.
     *
     * @param untilUs when the id may be taken again; 0 for at once
     */
    void release(long idHash, long untilUs);
}
