package petrelstand.core;

/**
 * What a front knows of a request: class and plan by their place in the settings, the piece of data, the volume, its
 * size, the shard that holds the data (-1: a new object), and how long the client waits.
 */
public record Demand(
        int classIndex,
        int planIndex,
        long key,
        long volume,
        double units,
        int shard,
        int gatewaySetSize,
        boolean clientRepeat,
        boolean write,
        long timeLeftUs) {
    /** The same, waited for so long. */
    public Demand withTimeLeft(long us) {
        return us == timeLeftUs
                ? this
                : new Demand(classIndex, planIndex, key, volume, units, shard, gatewaySetSize, clientRepeat, write, us);
    }
}
