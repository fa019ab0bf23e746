package petrelstand.decision;

/** A store of units that fills at a rate up to a size, less the units that were taken and are still held. */
final class TokenBucket {
    private double rate, size, level, held, atMs;

    /** Fills from its first {@link #reshape} on. */
    TokenBucket(double nowMs, double size, double level) {
        this.size = size;
        this.level = level;
        this.atMs = nowMs;
    }

    double level(double nowMs) {
        level = Math.min(size - held, level + rate * Math.max(0, nowMs - atMs) / 1000);
        atMs = Math.max(atMs, nowMs);
        return level;
    }

    void take(double nowMs, double units) {
        level(nowMs);
        level -= units;
    }

    /** Whether so many units may be held: half of the size at most, or any number by itself. */
    boolean mayHold(double units) {
        return held <= 0 || held + units <= size / 2;
    }

    /** Takes units, whose room stays taken until they are released. */
    void hold(double nowMs, double units) {
        take(nowMs, units);
        held += units;
    }

    void release(double nowMs, double units) {
        level(nowMs);
        held = Math.max(0, held - units);
    }

    /** Changes rate (units a second) and size from now on; what is beyond the new size is lost. */
    void reshape(double nowMs, double newRate, double newSize) {
        level(nowMs);
        rate = newRate;
        size = newSize;
        level(nowMs);
    }
}
