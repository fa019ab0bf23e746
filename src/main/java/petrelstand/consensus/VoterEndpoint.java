package petrelstand.consensus;

import io.microraft.RaftEndpoint;

/** A voter, by its name in the fleet. */
record VoterEndpoint(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }

    @Override
    public String toString() {
        return name;
    }
}
