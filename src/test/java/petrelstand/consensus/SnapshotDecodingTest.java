package petrelstand.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import petrelstand.agreement.RuleRegistry;

/** Guards against a malformed snapshot that ends in another exception, or is taken with its pieces in other places. */
class SnapshotDecodingTest {
    private static final long PROPOSAL_ID = 0x7a7b7c7dL;

    /** The encoded snapshot with the number of pieces of its proposal set to another one. */
    private static List<Object> snapshot(List<String> pieces, int pieceCount) {
        RuleRegistry.Snapshot snapshot =
                new RuleRegistry.Snapshot(0, 0, 0, List.of(), List.of(), Map.of(), Map.of(PROPOSAL_ID, pieces));
        byte[] encoded = WireCodec.encodeSnapshot(snapshot).get(0).clone();
        for (int i = 0; i < encoded.length - 4; i++) {
            if (encoded[i] == 0x7a && encoded[i + 1] == 0x7b && encoded[i + 2] == 0x7c && encoded[i + 3] == 0x7d) {
                assertEquals(pieces.size(), encoded[i + 4]);
                encoded[i + 4] = (byte) pieceCount;
                return List.of(encoded);
            }
        }
        throw new AssertionError("the proposal is not in the snapshot");
    }

    @Test
    void pieceOutsideItsProposalIsRefused() throws IOException {
        assertEquals(
                Map.of(PROPOSAL_ID, Arrays.asList(null, "x")),
                WireCodec.decodeSnapshot(snapshot(Arrays.asList(null, "x"), 2)).proposals());
        for (int pieceCount = 0; pieceCount < 2; pieceCount++) {
            List<Object> malformed = snapshot(Arrays.asList(null, "x"), pieceCount);
            IOException e = assertThrows(IOException.class, () -> WireCodec.decodeSnapshot(malformed));
            assertEquals("piece 1 of a proposal of " + pieceCount + " pieces", e.getMessage());
        }
    }
}
