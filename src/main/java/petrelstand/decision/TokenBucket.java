package petrelstand.decision;

/**
 * Token bucket of units, which refills at a rate up to its capacity. Units that are held reduce the capacity until they
 * are released. The level is negative after more units were taken than it had.
 */
final class TokenBucket {
    /** Units per second. */
    private double rate;

    private double capacity;
    private double level;
    private double held;
    /** Time of the level, ms. */
    private double atMs;

    /** Creates a bucket that does not refill before its first {@link #reconfigure}. */
    TokenBucket(double nowMs, double capacity, double level) {
        this.capacity = capacity;
        this.level = level;
        this.atMs = nowMs;
    }

    /** Refills up to now and returns the level. */
    double level(double nowMs) {
        level = Math.min(capacity - held, level + rate * Math.max(0, nowMs - atMs) / 1000);
        atMs = Math.max(atMs, nowMs);
        return level;
    }

    /** Takes units, whatever the level; a negative number returns them. */
    void take(double nowMs, double units) {
        level(nowMs);
        level -= units;
    }

    /** Returns whether units may be held: up to half of the capacity in all, or any number if none are held. */
    boolean mayHold(double units) {
        return held <= 0 || held + units <= capacity / 2;
    }

    /** Returns the units that are held. */
    double held() {
        return held;
    }

    /** Takes units and reduces the capacity by them until they are released. */
    void hold(double nowMs, double units) {
        take(nowMs, units);
        held += units;
    }

    /** Gives the capacity of held units back; the units themselves stay spent. */
    void release(double nowMs, double units) {
        level(nowMs);
        held = Math.max(0, held - units);
    }

    /** Changes rate (units per second) and capacity from now on; units beyond the new capacity are lost. */
    void reconfigure(double nowMs, double newRate, double newCapacity) {
        level(nowMs);
        rate = newRate;
        capacity = newCapacity;
        level(nowMs);
    }
}
