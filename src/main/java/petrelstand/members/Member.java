package petrelstand.members;

import java.util.List;

/**
 * One process of a gateway and its state, as a view holds it and as updates between members carry it.
 *
 * @param name the gateway's name, used by one process at a time
 * @param bootId random number drawn at each start; tells successive processes of a gateway apart
 * @param incarnation raised by the member to refute a false update; larger than that of the process before
 * @param address where it receives messages, ip:port
 * @param state the state that the view or update gives it
 * @param accuser name of the member that suspects it; empty unless the state is {@link MemberState#SUSPECT}
 * @param startMs wall clock time of its start, for display only
 * @param programVersion version of its program
 * @param abilities optional features that it supports
 */
public record Member(
        String name,
        long bootId,
        long incarnation,
        String address,
        MemberState state,
        String accuser,
        long startMs,
        String programVersion,
        List<String> abilities) {
    /** Bounds in characters and entries; the decoder rejects members beyond them. */
    public static final int MAX_NAME_LENGTH = 64, MAX_ADDRESS_LENGTH = 64, MAX_VERSION_LENGTH = 40, MAX_ABILITIES = 16;

    public Member {
        abilities = List.copyOf(abilities);
    }

    Member withState(MemberState newState, String newAccuser) {
        return new Member(name, bootId, incarnation, address, newState, newAccuser, startMs, programVersion, abilities);
    }

    Member withIncarnation(long newIncarnation) {
        return new Member(name, bootId, newIncarnation, address, state, accuser, startMs, programVersion, abilities);
    }

    boolean isSameProcess(Member other) {
        return bootId == other.bootId && name.equals(other.name);
    }
}
