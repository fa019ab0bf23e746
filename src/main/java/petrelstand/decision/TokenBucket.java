package petrelstand.decision;

/** A store of units that fills at a rate up to a size. */
final class TokenBucket {
    private double rate;
    private double size;
    private double level;
    private double atMs;

    /** Rate in units a second. */
    TokenBucket(double nowMs, double rate, double size, double level) {
        this.rate = rate;
        this.size = size;
        this.level = level;
        this.atMs = nowMs;
    }

    double level(double nowMs) {
        level = Math.min(size, level + rate * Math.max(0, nowMs - atMs) / 1000);
        atMs = Math.max(atMs, nowMs);
        return level;
    }

    void take(double nowMs, double units) {
        level(nowMs);
        level -= units;
    }

    /** Changes rate and size from now on; what is in the store beyond the new size is lost. */
    void reshape(double nowMs, double newRate, double newSize) {
        level(nowMs);
        rate = newRate;
        size = newSize;
        level = Math.min(level, newSize);
    }
}
