package petrelstand.members;

/** Well-mixed numbers of names, the same in every process. */
final class Hash {
    private Hash() {}

    /** Steele, Lea and Flood's finalizer of SplittableRandom: every bit of the input moves every bit of the result. */
    static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    static long of(String text) {
        long sum = text.length();
        for (int i = 0; i < text.length(); i++) {
            sum = mix(sum ^ text.charAt(i));
        }
        return sum;
    }

    /** What a claim adds to the digest of a view: life, incarnation and state, not who said so. */
    static long of(Member member) {
        return mix(of(member.name())
                ^ mix(member.state().ordinal() ^ mix(member.bootId()))
                ^ mix(member.incarnation() + 1));
    }
}
