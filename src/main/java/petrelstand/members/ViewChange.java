package petrelstand.members;

/**
 * A change of a view.
 *
 * @param atUs when, on this gateway's clock
 * @param version of the view after it
 * @param member as it is now
 * @param from what it was held to be; null where it was not known
 * @param cause why, in words
 */
public record ViewChange(long atUs, long viewVersion, Member member, MemberState previousState, String cause) {}
