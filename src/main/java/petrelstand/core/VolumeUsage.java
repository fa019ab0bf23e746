package petrelstand.core;

/**
 * The usage of a request's volume as a node's answer reports it.
 *
 * @param percent the volume's usage through all gateways and nodes in the last complete period, in percent of its
 *     plan's rate; {@link #UNKNOWN_PERCENT} if the answer does not report it
 * @param otherGatewayUnits the units that the node served the volume through other gateways since its previous answer
 *     to this one
 */
public record VolumeUsage(int percent, int otherGatewayUnits) {
    public static final int UNKNOWN_PERCENT = -1;
    /** The usage if an answer reports nothing. */
    public static final VolumeUsage UNKNOWN = new VolumeUsage(UNKNOWN_PERCENT, 0);
    /** The largest value of either component. */
    public static final int MAX_VALUE = 65_534;

    /** Throws IllegalArgumentException if a value is out of range. */
    public VolumeUsage {
        if (percent < UNKNOWN_PERCENT
                || percent > MAX_VALUE
                || otherGatewayUnits < 0
                || otherGatewayUnits > MAX_VALUE) {
            throw new IllegalArgumentException("volume usage out of range: percent " + percent
                    + ", units through other gateways " + otherGatewayUnits);
        }
    }
}
