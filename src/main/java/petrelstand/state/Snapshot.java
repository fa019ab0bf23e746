package petrelstand.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.Settings;

/**
 * The learned state of a gateway at one moment, as it is stored.
 *
 * @param gateway the gateway's name
 * @param settingsFingerprint {@link #fingerprint} of the settings in force when it was learned
 * @param generation sequence number of the snapshot in its folder, from 1
 * @param wallMs when it was taken, in milliseconds of Unix time
 * @param cleanShutdown true if the gateway accepted and sent nothing after it: the final snapshot of a clean shutdown
 * @param learned the values exported by the decision module
 */
public record Snapshot(
        String gateway,
        long settingsFingerprint,
        long generation,
        long wallMs,
        boolean cleanShutdown,
        LearnedState learned) {
    /** Maximum number of nodes in a snapshot; further ones are neither written nor restored. */
    public static final int MAX_NODES = 4096;

    public Snapshot {
        Objects.requireNonNull(gateway, "gateway");
        Objects.requireNonNull(learned, "learned");
    }

    /** Returns the first 64 bits of the SHA-256 of the settings' text; equal settings have equal fingerprints. */
    public static long fingerprint(Settings settings) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256")
                    .digest(settings.toString().getBytes(StandardCharsets.UTF_8));
            long fingerprint = 0;
            for (int i = 0; i < Long.BYTES; i++) {
                fingerprint = fingerprint << 8 | hash[i] & 0xff;
            }
            return fingerprint;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available, though every Java platform must provide it", e);
        }
    }
}
