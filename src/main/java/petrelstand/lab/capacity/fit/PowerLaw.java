package petrelstand.lab.capacity.fit;

import java.util.List;
import java.util.Optional;

/**
 * {@code cost = slope * size ^ exponent}, fitted by least squares between the logarithms of sizes and costs. A constant
 * cost has exponent 0, one in proportion to the size 1, all-to-all traffic of a whole fleet 2; a logarithmic cost shows
 * as a small exponent that falls as the sizes grow.
 *
 * @param slope the cost at size 1
 * @param exponent how the cost grows: doubling the size multiplies it by two to this power
 * @param residual root of the mean square of the differences between the logarithms; 0.1 is about 10%
 * @param worst the measured point that lies furthest from the curve
 * @param worstRatio that point's measured cost, divided by the curve's
 */
public record PowerLaw(double slope, double exponent, double residual, Point worst, double worstRatio) {
    /** A cost measured at a size. */
    public record Point(double size, double cost) {}

    private static final int FEWEST_POINTS = 2;

    /**
     * Fits a curve. A point whose cost is 0 has no logarithm, so a curve through one is not a power law.
     *
     * @return empty where a cost or size is not above 0, or fewer than two sizes differ
     */
    public static Optional<PowerLaw> fit(List<Point> points) {
        boolean positive = points.stream().allMatch(point -> point.size > 0 && point.cost > 0);
        if (!positive || points.stream().mapToDouble(Point::size).distinct().count() < FEWEST_POINTS) {
            return Optional.empty();
        }
        double meanX = points.stream()
                .mapToDouble(point -> Math.log(point.size))
                .average()
                .orElseThrow();
        double meanY = points.stream()
                .mapToDouble(point -> Math.log(point.cost))
                .average()
                .orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            double x = Math.log(point.size) - meanX;
            covariance += x * (Math.log(point.cost) - meanY);
            variance += x * x;
        }
        double exponent = covariance / variance;
        double slope = Math.exp(meanY - exponent * meanX);
        return Optional.of(judged(points, slope, exponent));
    }

    private static PowerLaw judged(List<Point> points, double slope, double exponent) {
        double squares = 0;
        Point worst = points.get(0);
        double furthest = -1;
        for (Point point : points) {
            double off = Math.abs(Math.log(point.cost / at(slope, exponent, point.size)));
            squares += off * off;
            if (off > furthest) {
                furthest = off;
                worst = point;
            }
        }
        double ratio = worst.cost / at(slope, exponent, worst.size);
        return new PowerLaw(slope, exponent, Math.sqrt(squares / points.size()), worst, ratio);
    }

    private static double at(double slope, double exponent, double size) {
        return slope * Math.pow(size, exponent);
    }

    /** The curve's cost at a size. */
    public double at(double size) {
        return at(slope, exponent, size);
    }
}
