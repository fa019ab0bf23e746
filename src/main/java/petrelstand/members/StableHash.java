package petrelstand.members;

/** Hashes that are the same in every process of the fleet. */
final class StableHash {
    private StableHash() {}

    /** The SplitMix64 finalizer (Steele, Lea and Flood): each input bit affects all output bits. */
    static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    static long hash(String text) {
        long hash = text.length();
        for (int i = 0; i < text.length(); i++) {
            hash = mix(hash ^ text.charAt(i));
        }
        return hash;
    }

    /** A member's part of the view digest: name, boot ID, incarnation and state, but not the accuser. */
    static long hash(Member member) {
        return mix(hash(member.name())
                ^ mix(member.state().ordinal() ^ mix(member.bootId()))
                ^ mix(member.incarnation() + 1));
    }
}
