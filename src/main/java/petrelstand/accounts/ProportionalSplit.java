package petrelstand.accounts;

/** Divides a whole number in proportion, without a remainder lost or made. */
final class ProportionalSplit {
    private ProportionalSplit() {}

    /**
     * The parts of a total that stand to each other as the weights do, as nearly as whole numbers can: each is within
     * one of its exact part, and they add up to the total. Weights are 0 or more, and not all 0 where the total is not;
     * neither the total nor the weights' sum may pass 2^53.
     */
    static long[] split(long total, long[] weights) {
        long sum = 0;
        for (long weight : weights) {
            if (weight < 0) {
                throw new IllegalArgumentException("a weight is negative: " + weight);
            }
            sum = Math.addExact(sum, weight);
        }
        if (total < 0 || total > 0 && sum == 0) {
            throw new IllegalArgumentException("nothing to divide " + total + " among");
        }
        long[] parts = new long[weights.length];
        long weightSoFar = 0;
        long assigned = 0;
        for (int i = 0; i < weights.length; i++) {
            weightSoFar += weights[i];
            // What all up to here get together, rounded once: so rounding never adds up.
            long cumulative = sum == 0
                    ? 0
                    : Math.multiplyHigh(total, weightSoFar) == 0 && total * weightSoFar >= 0
                            ? total * weightSoFar / sum
                            : (long) (total * ((double) weightSoFar / sum));
            cumulative = i == weights.length - 1 ? total : Math.max(assigned, Math.min(total, cumulative));
            parts[i] = cumulative - assigned;
            assigned = cumulative;
        }
        return parts;
    }
}
