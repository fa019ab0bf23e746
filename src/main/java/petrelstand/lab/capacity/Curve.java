package petrelstand.lab.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import petrelstand.lab.capacity.fit.PowerLaw;
import petrelstand.lab.capacity.fit.PowerLaw.Point;

/** A cost over the sizes of one axis, with the curve through it. */
public record Curve(Event event, Group group, Cost cost, Axis axis, List<Point> points, Optional<PowerLaw> law) {
    private record Key(Event event, Group group, Cost cost, Axis axis) {}

    /** All curves of some samples, in the order of events, groups, costs and axes as they came. */
    public static List<Curve> of(List<Sample> samples) {
        Map<Key, List<Point>> points = new LinkedHashMap<>();
        for (Sample sample : samples) {
            Key key = new Key(sample.event(), sample.group(), sample.cost(), sample.axis());
            points.computeIfAbsent(key, k -> new ArrayList<>()).add(new Point(sample.size(), sample.value()));
        }
        List<Curve> curves = new ArrayList<>();
        points.forEach((key, of) ->
                curves.add(new Curve(key.event, key.group, key.cost, key.axis, List.copyOf(of), PowerLaw.fit(of))));
        return curves;
    }

    /** What is measured, for people. */
    public String title() {
        String what = axis == Axis.GATEWAYS ? event.label() : "above rest, by " + axis.label();
        return group.name().toLowerCase(Locale.ROOT) + ", " + what + ": " + cost.label();
    }
}
