package petrelstand.members;

/** What a member is held to be. Of two claims on one incarnation of one life, the later state here wins. */
public enum MemberState {
    /** Has not yet been answered, or has learned that it was away: no member, whatever others still hold it to be. */
    JOINING,
    ALIVE,
    /** Silent to someone who watches it; it has {@link MembershipTiming#failAfterUs} to say that it lives. */
    SUSPECT,
    /** Told that it will end; still answers. */
    LEAVING,
    /** Silent to all who watched it. */
    FAILED,
    /** Ended in order, as it told. */
    LEFT;

    /** Whether the member counts as there. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT || this == LEAVING;
    }
}
