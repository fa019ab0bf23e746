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
        long boot,
        long incarnation,
        String address,
        MemberState state,
        String by,
        long startMs,
        String version,
        List<String> abilities) {
    /** Bounds on what a claim holds, characters and entries; a claim beyond them is malformed. */
    public static final int MOST_NAME = 64, MOST_ADDRESS = 64, MOST_VERSION = 40, MOST_ABILITIES = 16;

    public Member {
        abilities = List.copyOf(abilities);
    }

    Member as(MemberState changed, String whose) {
        return new Member(name, boot, incarnation, address, changed, whose, startMs, version, abilities);
    }

    Member raised(long to) {
        return new Member(name, boot, to, address, state, by, startMs, version, abilities);
    }

    boolean sameLife(Member other) {
        return boot == other.boot && name.equals(other.name);
    }
}
