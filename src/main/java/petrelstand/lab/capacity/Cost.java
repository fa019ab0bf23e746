package petrelstand.lab.capacity;

/** What is measured of a member of a fleet. */
public enum Cost {
    MESSAGES_OUT("messages out", "1/s"),
    MESSAGES_IN("messages in", "1/s"),
    BYTES_OUT("bytes out", "B/s"),
    BYTES_IN("bytes in", "B/s"),
    /** Bytes out and in of the member and second that had most. */
    PEAK_BYTES("bytes, worst member and second", "B/s"),
    /** Thread CPU time of the module and of the wire form, without sockets and the gateway's loop. */
    CPU("CPU of module and wire form", "us/s"),
    /** Heap held by the whole fleet, divided by its size. */
    STATE("state held", "B"),
    /** From the begin of an event until all members agree again. */
    SETTLED("until all agree", "s");

    private final String label;
    private final String unit;

    Cost(String label, String unit) {
        this.label = label;
        this.unit = unit;
    }

    /** What it is, with its unit. */
    public String label() {
        return label + ", " + unit;
    }
}
