package petrelstand.core;

/**
 * What a node's answer tells of its request's volume.
 *
 * @param percent the volume's use through all gateways and nodes in a finished period, in percent of its plan's rate;
 *     {@link #UNTOLD} where the answer does not say
 * @param fromOthers units that the node served the volume through other gateways since its last answer to this one
 */
public record VolumeUse(int percent, int fromOthers) {
    public static final int UNTOLD = -1;
    /** Nothing is told. */
    public static final VolumeUse NONE = new VolumeUse(UNTOLD, 0);
    /** No figure is larger. */
    public static final int MOST = 65_534;

    public VolumeUse {
        if (percent < UNTOLD || percent > MOST || fromOthers < 0 || fromOthers > MOST) {
            throw new IllegalArgumentException("use of a volume out of bounds: " + percent + ", " + fromOthers);
        }
    }
}
