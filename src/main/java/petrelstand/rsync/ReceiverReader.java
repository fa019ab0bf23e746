package petrelstand.rsync;

import java.nio.ByteBuffer;

/** The receiver's direction in protocol 29: on a pull its filters, then requests, the phases and the goodbye. */
final class ReceiverReader extends ItemReader {
    private boolean filters;

    ReceiverReader(Options options) {
        filters = options.pull();
    }

    /** The goodbye follows the last phase. */
    @Override
    boolean done() {
        return phases() > PHASES;
    }

    @Override
    void record(ByteBuffer in) {
        if (filters) {
            int length = i32(in);
            pass(in, length);
            filters = length > 0;
        } else if (item(in)) {
            skip(sums(in));
        }
    }
}
