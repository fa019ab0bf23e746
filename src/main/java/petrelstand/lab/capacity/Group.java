package petrelstand.lab.capacity;

/** Members that do the same work, so that a cost is told apart by what a member does. */
public enum Group {
    /** Every member of a fleet. */
    GATEWAY,
    /** A gateway that acts on rules and does not vote. */
    HOLDER,
    /** A gateway that votes and does not lead. */
    VOTER,
    /** The voter that leads. */
    LEADER
}
