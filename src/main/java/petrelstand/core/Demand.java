package petrelstand.core;

/**
 * What a front knows of a request: class and plan by their place in the settings, the piece of data, the volume, its
 * size, the shard that holds the data (-1: a new object), and how long the client waits.
 */
public record Demand(
        int requestClass,
        int plan,
        long key,
        long volume,
        double units,
        int shard,
        int setSize,
        boolean repeat,
        boolean write,
        long leftUs) {
    /** The same, waited for so long. */
    public Demand within(long us) {
        return us == leftUs
                ? this
                : new Demand(requestClass, plan, key, volume, units, shard, setSize, repeat, write, us);
    }
}
