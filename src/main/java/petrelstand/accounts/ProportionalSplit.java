package petrelstand.accounts;

/** Divides a whole number in proportion to weights, so that the parts add up exactly. */
final class ProportionalSplit {
    private ProportionalSplit() {}

    /**
     * Divides {@code total} in proportion to {@code weights}. Each part is within one of its exact value.
     *
     * @param total 0 to 2^53
     * @param weights each 0 or more, their sum at most 2^53, and above 0 if the total is
     * @throws IllegalArgumentException if a weight or the total is negative, or all weights of a positive total are 0
     */
    static long[] split(long total, long[] weights) {
        long sum = 0;
        for (long weight : weights) {
            if (weight < 0) {
                throw new IllegalArgumentException("weight must not be negative, but is " + weight);
            }
            sum = Math.addExact(sum, weight);
        }
        if (total < 0 || total > 0 && sum == 0) {
            throw new IllegalArgumentException("cannot divide " + total + " by weights with the sum " + sum);
        }
        long[] parts = new long[weights.length];
        long weightSoFar = 0;
        long assigned = 0;
        for (int i = 0; i < weights.length; i++) {
            weightSoFar += weights[i];
            // Rounding the cumulative part keeps rounding errors from adding up.
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
