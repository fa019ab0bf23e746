package petrelstand.members;

/** Well-mixed numbers of names, the same in every process. */
final class StableHash {
    private StableHash() {}

    /** Steele, Lea and Flood's finalizer of SplittableRandom: every bit of the input moves every bit of the result. */
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

    /** What a claim adds to the digest of a view: life, incarnation and state, not who said so. */
    static long hash(Member member) {
        return mix(hash(member.name())
                ^ mix(member.state().ordinal() ^ mix(member.bootId()))
                ^ mix(member.incarnation() + 1));
    }
}
