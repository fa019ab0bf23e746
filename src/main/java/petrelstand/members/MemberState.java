package petrelstand.members;

/** The state of a member. Of two updates on the same process and incarnation, the state declared later wins. */
public enum MemberState {
    /** Not admitted yet, or rejoining after a long pause; not a member, whatever others still believe. */
    JOINING,
    ALIVE,
    /** Silent to a member that watches it; fails unless it refutes within {@link MembershipTiming#failAfterUs}. */
    SUSPECT,
    /** Announced that it will leave; still answers. */
    LEAVING,
    /** Did not refute a suspicion in time. */
    FAILED,
    /** Left gracefully. */
    LEFT;

    /** Whether the member counts as part of the fleet. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT || this == LEAVING;
    }
}
