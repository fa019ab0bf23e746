package petrelstand.lab.capacity;

/** What a cost may depend on. */
public enum Axis {
    GATEWAYS("gateways"),
    RESTARTS("restarts a minute"),
    CHANGES("changes a minute"),
    LOSS("percent of messages lost");

    private final String label;

    Axis(String label) {
        this.label = label;
    }

    public String label() {
        return label;
    }
}
