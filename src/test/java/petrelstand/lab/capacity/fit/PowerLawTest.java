package petrelstand.lab.capacity.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;
import petrelstand.lab.capacity.fit.PowerLaw.Point;

/** Curves whose growth is known are recognised. */
class PowerLawTest {
    private static final double[] SIZES = {50, 100, 200, 400, 670, 1000};

    private static List<Point> points(DoubleUnaryOperator cost) {
        return Arrays.stream(SIZES)
                .mapToObj(size -> new Point(size, cost.applyAsDouble(size)))
                .toList();
    }

    private static PowerLaw fit(DoubleUnaryOperator cost) {
        return PowerLaw.fit(points(cost)).orElseThrow();
    }

    @Test
    void aConstantHasExponentZero() {
        PowerLaw law = fit(size -> 21);
        assertEquals(0, law.exponent(), 1e-9);
        assertEquals(21, law.slope(), 1e-9);
        assertEquals(0, law.residual(), 1e-9);
    }

    @Test
    void aLogarithmHasASmallExponentAndALinearOneHasOne() {
        PowerLaw logarithm = fit(Math::log);
        assertTrue(logarithm.exponent() > 0.1 && logarithm.exponent() < 0.25, logarithm.toString());
        PowerLaw linear = fit(size -> 3 * size);
        assertEquals(1, linear.exponent(), 1e-9);
        assertEquals(3, linear.slope(), 1e-9);
        assertEquals(2010, linear.at(670), 1e-6);
    }

    @Test
    void aSquareHasTwo() {
        PowerLaw law = fit(size -> 0.5 * size * size);
        assertEquals(2, law.exponent(), 1e-9);
        assertEquals(0.5, law.slope(), 1e-9);
    }

    @Test
    void noiseOfATenthMovesTheExponentByLessThanATenth() {
        for (int seed = 1; seed <= 100; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            PowerLaw law = fit(size -> 7 * size * (0.9 + 0.2 * random.nextDouble()));
            assertEquals(1, law.exponent(), 0.1, "seed " + seed);
            assertTrue(law.residual() < 0.11, "seed " + seed + ": " + law);
        }
    }

    @Test
    void thePointFurthestFromTheCurveIsNamed() {
        PowerLaw law = fit(size -> size == 200 ? 40 : 10);
        assertEquals(200, law.worst().size());
        assertTrue(law.worstRatio() > 2.5 && law.worstRatio() < 4, law.toString());
    }

    @Test
    void noCurveGoesThroughAZeroOrASingleSize() {
        assertEquals(Optional.empty(), PowerLaw.fit(points(size -> size - 50)));
        assertEquals(Optional.empty(), PowerLaw.fit(List.of()));
        assertEquals(Optional.empty(), PowerLaw.fit(List.of(new Point(50, 1), new Point(50, 2))));
    }

    @Test
    void aBoundIsBrokenByTheExponentByTheLargestCostAndByNoCurve() {
        Bound bound = new Bound("bytes out", 0.25, 100);
        assertEquals(List.of(), bound.broken(points(size -> 99)));
        assertEquals(List.of("bytes out: exponent 1.000, at most 0.250"), bound.broken(points(size -> size / 100)));
        assertEquals(List.of("bytes out: 101.0 at size 1000, at most 100.0"), bound.broken(points(size -> 101)));
        assertEquals(1, bound.broken(points(size -> 0)).size());
    }
}
