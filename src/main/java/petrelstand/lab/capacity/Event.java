package petrelstand.lab.capacity;

import java.util.Locale;

/** What goes on while costs are measured. */
public enum Event {
    /** All start within half a second, until all agree. */
    START("all start at once, until all agree"),
    REST("at rest"),
    /** A member is killed each second and is back after a second. */
    RESTARTS("60 restarts a minute"),
    /** A version of the rules is proposed each second. */
    CHANGES("60 changes a minute"),
    LOSS("5% of all messages lost"),
    /** A quarter of the members is killed at once, and back at once 10 s later. */
    ZONE("a quarter lost for 10 s and back"),
    /** Half of the members reaches the other half no more for 20 s. */
    CUT("cut in two halves for 20 s");

    private final String label;

    Event(String label) {
        this.label = label;
    }

    public String label() {
        return label;
    }

    /** The event's name as an operator writes it. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
