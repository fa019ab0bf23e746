package petrelstand.members;

/**
 * A change in this gateway's view of one member.
 *
 * @param atUs time of the change on this gateway's monotonic clock, in microseconds
 * @param viewVersion version of the view after the change
 * @param member the member after the change
 * @param previousState state before the change, or null if the member was unknown
 * @param cause the reason, for people to read
 */
public record ViewChange(long atUs, long viewVersion, Member member, MemberState previousState, String cause) {}
