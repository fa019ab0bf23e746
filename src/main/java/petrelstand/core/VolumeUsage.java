package petrelstand.core;

/**
 * What a node's answer tells of its request's volume.
 *
 * @param percent the volume's use through all gateways and nodes in a finished period, in percent of its plan's rate;
 *     {@link #UNKNOWN_PERCENT} where the answer does not say
 * @param fromOthers units that the node served the volume through other gateways since its last answer to this one
 */
public record VolumeUsage(int percent, int otherGatewayUnits) {
    public static final int UNKNOWN_PERCENT = -1;
    /** Nothing is told. */
    public static final VolumeUsage UNKNOWN = new VolumeUsage(UNKNOWN_PERCENT, 0);
    /** No figure is larger. */
    public static final int MAX_VALUE = 65_534;

    public VolumeUsage {
        if (percent < UNKNOWN_PERCENT
                || percent > MAX_VALUE
                || otherGatewayUnits < 0
                || otherGatewayUnits > MAX_VALUE) {
            throw new IllegalArgumentException("use of a volume out of bounds: " + percent + ", " + otherGatewayUnits);
        }
    }
}
