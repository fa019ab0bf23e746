package petrelstand.members;

import java.util.List;

/**
 * A claim on a member: one life (a start of the process) of one gateway.
 *
 * @param name the gateway's name, one process at a time
 * @param boot drawn at random at each start, so that no two lives are taken for one
 * @param incarnation grows whenever the member answers a false claim; larger than that of the life before
 * @param address where its messages go, ip:port
 * @param state what is claimed
 * @param by who saw it so, where it is a suspicion; else empty
 * @param startMs the wall clock's time of its start, for people; decides nothing
 * @param version of the program
 * @param abilities what it can do, in words that later parts define
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
    /** Bounds on what a claim holds, characters and entries; a claim beyond them is malformed. */
    public static final int MAX_NAME_LENGTH = 64, MAX_ADDRESS_LENGTH = 64, MAX_VERSION_LENGTH = 40, MAX_ABILITIES = 16;

    public Member {
        abilities = List.copyOf(abilities);
    }

    Member as(MemberState changed, String whose) {
        return new Member(name, bootId, incarnation, address, changed, whose, startMs, programVersion, abilities);
    }

    Member raised(long to) {
        return new Member(name, bootId, to, address, state, accuser, startMs, programVersion, abilities);
    }

    boolean sameLife(Member other) {
        return bootId == other.bootId && name.equals(other.name);
    }
}
