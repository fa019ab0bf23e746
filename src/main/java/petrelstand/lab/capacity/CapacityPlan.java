package petrelstand.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import petrelstand.members.Membership;

/**
 * What is to be measured.
 *
 * @param sizes gateways, each another number
 * @param events in order; {@link Event#REST} is played first of all where another needs a fleet at rest
 * @param sweeps whether other axes than the number of gateways are varied, at the smallest size
 */
public record CapacityPlan(Role role, List<Integer> sizes, List<Event> events, long seed, boolean sweeps) {
    /** The least fleet: three voters, and gateways that hold and do not vote. */
    public static final int LEAST = 10;
    /** A gateway's view holds no more members. */
    public static final int MOST = Membership.MAX_MEMBERS;

    private static final int MOST_SIZES = 12;

    /**
     * Reads a plan from what an operator wrote.
     *
     * @throws IllegalArgumentException in one line that names the field
     */
    public static CapacityPlan of(String role, String sizes, String events, long seed, boolean sweeps) {
        Role read = Role.of(role);
        return new CapacityPlan(read, sizes(sizes), events(read, events), seed, sweeps);
    }

    private static List<Integer> sizes(String text) {
        List<Integer> sizes = new ArrayList<>();
        for (String word : text.split(",", -1)) {
            if (!word.matches("[0-9]{1,9}")) {
                throw new IllegalArgumentException("--sizes must be numbers with commas, not '" + text + "'");
            }
            int size = Integer.parseInt(word);
            if (size < LEAST || size > MOST) {
                throw new IllegalArgumentException("--sizes must be from " + LEAST + " to " + MOST + ", not " + size);
            }
            if (sizes.contains(size)) {
                throw new IllegalArgumentException("--sizes has " + size + " twice");
            }
            sizes.add(size);
        }
        if (sizes.size() > MOST_SIZES) {
            throw new IllegalArgumentException("--sizes has " + sizes.size() + " sizes, at most " + MOST_SIZES);
        }
        return List.copyOf(sizes);
    }

    private static List<Event> events(Role role, String text) {
        if (text.equals("all")) {
            return role.events();
        }
        List<Event> events = new ArrayList<>();
        for (String word : text.split(",", -1)) {
            Event event = role.events().stream()
                    .filter(one -> one.word().equals(word))
                    .findFirst()
                    .orElseThrow(() -> new IllegalArgumentException(
                            "--events must be all or some of " + words(role) + ", not '" + word + "'"));
            if (events.contains(event)) {
                throw new IllegalArgumentException("--events has " + word + " twice");
            }
            events.add(event);
        }
        return List.copyOf(events);
    }

    private static String words(Role role) {
        return role.events().stream().map(Event::word).collect(Collectors.joining(","));
    }

    int smallest() {
        return sizes.stream().min(Integer::compare).orElseThrow();
    }

    /** The plan in the words of the command line. */
    public String command() {
        return "petrelstand lab capacity " + role.word() + " --sizes "
                + sizes.stream().map(String::valueOf).collect(Collectors.joining(",")) + " --events "
                + events.stream().map(Event::word).collect(Collectors.joining(",")) + " --seed " + seed
                + (sweeps ? " --sweeps" : "");
    }
}
