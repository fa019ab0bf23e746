package petrelstand.consensus;

import io.microraft.RaftEndpoint;

/** Identifies a voter to MicroRaft by its gateway's name. */
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
