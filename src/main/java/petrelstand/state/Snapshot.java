package petrelstand.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.Settings;

/**
 * What one gateway had learned at one moment, as it is kept.
 *
 * @param gateway the gateway's name
 * @param settingsPrint {@link #fingerprint} of the settings under which it was learned
 * @param generation counts the snapshots of a folder, from 1
 * @param wallMs when it was taken, in Unix time, ms
 * @param clean true where the gateway took nothing and sent nothing after it: the last one of an orderly end
 * @param learned the figures, as the decision module handed them out
 */
public record Snapshot(
        String gateway, long settingsFingerprint, long generation, long wallMs, boolean cleanShutdown, LearnedState learned) {
    /** Nodes that are kept, at most; what a folder gives back beyond it is not believed. */
    public static final int MAX_NODES = 4096;

    public Snapshot {
        Objects.requireNonNull(gateway, "gateway");
        Objects.requireNonNull(learned, "learned");
    }

    /** The first 64 bits of the SHA-256 of the settings, written out: equal settings have equal prints. */
    public static long fingerprint(Settings settings) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256")
                    .digest(settings.toString().getBytes(StandardCharsets.UTF_8));
            long print = 0;
            for (int i = 0; i < Long.BYTES; i++) {
                print = print << 8 | hash[i] & 0xff;
            }
            return print;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
