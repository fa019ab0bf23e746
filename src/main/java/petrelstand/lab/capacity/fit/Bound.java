package petrelstand.lab.capacity.fit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import petrelstand.lab.capacity.fit.PowerLaw.Point;

/**
 * What a cost may be: how fast it may grow with the size, and how much it may be at the largest size measured.
 *
 * @param what the cost, for people
 * @param mostExponent of the fitted curve
 * @param mostAtLargest at the largest size, in the unit of the cost
 */
public record Bound(String what, double mostExponent, double mostAtLargest) {
    /** Why measured points break this bound, one line each; empty where they keep it. */
    public List<String> broken(List<Point> points) {
        Optional<PowerLaw> curve = PowerLaw.fit(points);
        if (curve.isEmpty()) {
            return List.of(what + ": no curve goes through " + points);
        }
        List<String> lines = new ArrayList<>();
        if (!(curve.get().exponent() <= mostExponent)) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%s: exponent %.3f, at most %.3f",
                    what,
                    curve.get().exponent(),
                    mostExponent));
        }
        Point largest =
                points.stream().max(Comparator.comparingDouble(Point::size)).orElseThrow();
        if (!(largest.cost() <= mostAtLargest)) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%s: %.1f at size %.0f, at most %.1f",
                    what,
                    largest.cost(),
                    largest.size(),
                    mostAtLargest));
        }
        return lines;
    }
}
