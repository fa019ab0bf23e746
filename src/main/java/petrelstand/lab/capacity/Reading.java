package petrelstand.lab.capacity;

import java.util.List;
import java.util.function.ToDoubleFunction;
import petrelstand.lab.capacity.Meter.Counts;

/** Turns the counts of a stretch of virtual time into samples. */
final class Reading {
    private static final double NS_A_US = 1_000;

    private final Meter meter;
    private final Event event;
    private final Axis axis;
    private final double size;
    private final double seconds;

    Reading(Meter meter, Event event, Axis axis, double size, double seconds) {
        this.meter = meter;
        this.event = event;
        this.axis = axis;
        this.size = size;
        this.seconds = seconds;
    }

    /** The samples of a group, of which these are the members. */
    List<Sample> of(Group group, List<Integer> members) {
        return List.of(
                mean(group, Cost.MESSAGES_OUT, members, counts -> counts.messagesOut),
                mean(group, Cost.MESSAGES_IN, members, counts -> counts.messagesIn),
                mean(group, Cost.BYTES_OUT, members, counts -> counts.bytesOut),
                mean(group, Cost.BYTES_IN, members, counts -> counts.bytesIn),
                mean(group, Cost.CPU, members, counts -> counts.cpuNs / NS_A_US),
                sample(
                        group,
                        Cost.PEAK_BYTES,
                        members.stream()
                                .mapToLong(i -> meter.of(i).worstSecond)
                                .max()
                                .orElse(0)));
    }

    private Sample mean(Group group, Cost cost, List<Integer> members, ToDoubleFunction<Counts> of) {
        double all =
                members.stream().mapToDouble(i -> of.applyAsDouble(meter.of(i))).sum();
        return sample(group, cost, all / Math.max(1, members.size()) / seconds);
    }

    Sample sample(Group group, Cost cost, double value) {
        return new Sample(event, group, cost, axis, size, value);
    }
}
