package petrelstand.lab.capacity;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/** Which modules are measured. */
public enum Role {
    /** Gateways that know each other. */
    MEMBERS(EnumSet.complementOf(EnumSet.of(Event.CHANGES))),
    /** Gateways that act on agreed rules, and the voters among them. */
    RULES(EnumSet.complementOf(EnumSet.of(Event.CUT)));

    private final Set<Event> events;

    Role(Set<Event> events) {
        this.events = events;
    }

    /** The events that this role is measured over, in the order of the plan. */
    public List<Event> events() {
        return List.copyOf(events);
    }

    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The role of a word; an IllegalArgumentException names the field where there is none. */
    static Role of(String word) {
        return Arrays.stream(values())
                .filter(role -> role.word().equals(word))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("ROLE must be one of "
                        + Arrays.stream(values()).map(Role::word).collect(Collectors.joining(", "))
                        + ", not '" + word + "'"));
    }
}
