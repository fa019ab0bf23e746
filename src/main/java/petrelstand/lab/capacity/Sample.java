package petrelstand.lab.capacity;

/**
 * One measured value: the mean over a group's members, unless the cost says otherwise.
 *
 * @param event what went on while it was measured
 * @param axis what is varied
 * @param size the value on that axis
 * @param value in the unit of the cost
 */
public record Sample(Event event, Group group, Cost cost, Axis axis, double size, double value) {}
