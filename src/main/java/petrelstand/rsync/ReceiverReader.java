package petrelstand.rsync;

import java.nio.ByteBuffer;

/** Parses the receiver's direction in protocol 29: filters on a pull, then file requests in phases and a goodbye. */
final class ReceiverReader extends ItemReader {
    private boolean readingFilters;

    ReceiverReader(TransferOptions options) {
        readingFilters = options.pull();
    }

    /** True after the goodbye, a further -1 after the last phase. */
    @Override
    boolean isDone() {
        return phasesEnded() > PHASE_COUNT;
    }

    @Override
    void readRecord(ByteBuffer in) {
        if (readingFilters) {
            int length = readInt(in);
            skipField(in, length);
            readingFilters = length > 0;
        } else if (readItemHeader(in)) {
            skip(readChecksumHeader(in));
        }
    }
}
