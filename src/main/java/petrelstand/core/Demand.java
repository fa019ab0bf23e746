package petrelstand.core;

/**
 * A request as a front end hands it to the broker.
 *
 * @param classIndex the class, as an index into the settings' classes
 * @param planIndex the volume's plan, as an index into the settings' plans
 * @param key identifies the data that the request reads or writes
 * @param volume the volume's number
 * @param units the size of the request's work, in units
 * @param shard the shard that holds the data; -1 for a new object
 * @param gatewaySetSize the number of gateways that serve the volume
 * @param clientRepeat whether the client marked the request as a repeat of an earlier one
 * @param write whether the request writes
 * @param timeLeftUs how much longer the client waits for an answer, in microseconds
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
    /** This demand with another time left. */
    public Demand withTimeLeft(long us) {
        return us == timeLeftUs
                ? this
                : new Demand(classIndex, planIndex, key, volume, units, shard, gatewaySetSize, clientRepeat, write, us);
    }
}
