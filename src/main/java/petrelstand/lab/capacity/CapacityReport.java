package petrelstand.lab.capacity;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import petrelstand.lab.capacity.fit.PowerLaw;
import petrelstand.lab.capacity.fit.PowerLaw.Point;

/** The curves of an experiment as a table and as JSON. */
public final class CapacityReport {
    private final CapacityPlan plan;
    private final List<Curve> curves;
    private final double playedSeconds;

    public CapacityReport(CapacityPlan plan, List<Sample> samples, double playedSeconds) {
        this.plan = plan;
        this.curves = Curve.of(samples);
        this.playedSeconds = playedSeconds;
    }

    List<Curve> curves() {
        return curves;
    }

    CapacityPlan plan() {
        return plan;
    }

    /** One line a cost: the curve, and then each point as size:cost. */
    public String table() {
        StringBuilder text = new StringBuilder(plan.command()).append('\n');
        text.append(String.format(
                Locale.ROOT,
                "%-74s %10s %9s %9s %12s  %s%n",
                "cost a member",
                "slope",
                "exponent",
                "residual",
                "worst",
                "size:cost"));
        for (Curve curve : curves) {
            text.append(String.format(Locale.ROOT, "%-74s %s  %s%n", curve.title(), law(curve), points(curve)));
        }
        return text.append(String.format(Locale.ROOT, "played in %.1f s%n", playedSeconds))
                .toString();
    }

    private static String law(Curve curve) {
        if (curve.law().isEmpty()) {
            return String.format("%10s %9s %9s %12s", "-", "no curve", "-", "-");
        }
        PowerLaw law = curve.law().get();
        return String.format(
                Locale.ROOT,
                "%10.4g %9.3f %9.3f %12s",
                law.slope(),
                law.exponent(),
                law.residual(),
                String.format(Locale.ROOT, "%.0f x%.2f", law.worst().size(), law.worstRatio()));
    }

    private static String points(Curve curve) {
        return curve.points().stream()
                .map(point -> String.format(Locale.ROOT, "%.0f:%s", point.size(), number(point.cost())))
                .collect(Collectors.joining(" "));
    }

    /** Three digits, or all of a larger number's whole ones. */
    static String number(double value) {
        return String.format(
                Locale.ROOT, Math.abs(value) >= 100 ? "%.0f" : Math.abs(value) >= 10 ? "%.1f" : "%.2f", value);
    }

    /** The same as JSON, with every point. */
    public String json() {
        JsonObject all = new JsonObject();
        all.addProperty("command", plan.command());
        all.addProperty("playedSeconds", playedSeconds);
        JsonArray list = new JsonArray();
        curves.forEach(curve -> list.add(json(curve)));
        all.add("curves", list);
        return new GsonBuilder().setPrettyPrinting().create().toJson(all) + "\n";
    }

    private static JsonObject json(Curve curve) {
        JsonObject one = new JsonObject();
        one.addProperty("event", curve.event().word());
        one.addProperty("group", curve.group().name().toLowerCase(Locale.ROOT));
        one.addProperty("cost", curve.cost().label());
        one.addProperty("axis", curve.axis().label());
        JsonArray points = new JsonArray();
        for (Point point : curve.points()) {
            JsonObject pair = new JsonObject();
            pair.addProperty("size", point.size());
            pair.addProperty("cost", point.cost());
            points.add(pair);
        }
        one.add("points", points);
        curve.law().ifPresent(law -> {
            one.addProperty("slope", law.slope());
            one.addProperty("exponent", law.exponent());
            one.addProperty("residual", law.residual());
            one.addProperty("worstSize", law.worst().size());
            one.addProperty("worstRatio", law.worstRatio());
        });
        return one;
    }
}
