package petrelstand.core;

/**
 * How far a request has come, and until when its answer is due. The time that a client waits begins with the last byte
 * of its request. While its body is being sent that byte is still to come, unless the gateway itself does not read on
 * because the node does not take what it is given. Times are microseconds of the event loop's clock.
 */
final class RequestProgress {
    /** The parts of a request's way. */
    enum Stage {
        /** All of the request is here, and can be sent again. */
        WHOLE,
        /** The beginning of a large body is here, and can be sent again; the rest has not been asked for. */
        BODY_BEGUN,
        /** Some of the body has been passed on, and the next part is due from the client. */
        BODY_FROM_CLIENT,
        /** Some of the body has been passed on, and the node has to take it before more is read from the client. */
        BODY_TO_NODE,
        /** The last byte of a body that was passed on in parts has arrived. */
        BODY_RECEIVED,
        /** Some of the answer has been passed to the client. */
        ANSWER_STARTED
    }

    private final long timeLeftUs;
    private Stage stage;
    /** When the client's waiting began, as far as it has. */
    private long waitsSinceUs;

    private boolean finished;

    /**
     * Creates the progress of an accepted request.
     *
     * @param timeLeftUs how long the client waits
     */
    RequestProgress(boolean whole, long acceptedUs, long timeLeftUs) {
        this.stage = whole ? Stage.WHOLE : Stage.BODY_BEGUN;
        this.waitsSinceUs = acceptedUs;
        this.timeLeftUs = timeLeftUs;
    }

    Stage stage() {
        return stage;
    }

    /** When the client stops waiting; not before this if {@link #isDeadlineKnown} is false. */
    long deadlineUs() {
        return waitsSinceUs + timeLeftUs;
    }

    /** Whether the client has sent all that it means to send, as far as the gateway can know. */
    boolean isDeadlineKnown() {
        return stage != Stage.BODY_FROM_CLIENT;
    }

    /** Whether the last byte of the request has arrived. */
    boolean isReceived() {
        return stage != Stage.BODY_BEGUN && stage != Stage.BODY_FROM_CLIENT && stage != Stage.BODY_TO_NODE;
    }

    /** Whether the body is passed on in parts, so that only a node that has all of it can begin the request. */
    boolean isBodyStreamed() {
        return stage == Stage.BODY_FROM_CLIENT || stage == Stage.BODY_TO_NODE || stage == Stage.BODY_RECEIVED;
    }

    /** Whether something was passed on that can't be taken back, so that no other attempt can follow. */
    boolean isCommitted() {
        return stage != Stage.WHOLE && stage != Stage.BODY_BEGUN;
    }

    /** Whether the final answer was given or the client has left. */
    boolean isFinished() {
        return finished;
    }

    // ---- Transitions ----

    /** Some of the body is passed on. */
    void beginBody() {
        stage = Stage.BODY_FROM_CLIENT;
    }

    /** The next part of the body is due from the client. */
    void awaitClient() {
        if (stage == Stage.BODY_TO_NODE) {
            stage = Stage.BODY_FROM_CLIENT;
        }
    }

    /**
     * The node has to take a part of the body.
     *
     * @param arrivedUs when the newest of the client's bytes arrived, read or not
     */
    void awaitNode(long arrivedUs) {
        if (stage == Stage.BODY_FROM_CLIENT || stage == Stage.BODY_TO_NODE) {
            stage = Stage.BODY_TO_NODE;
            waitsSinceUs = arrivedUs;
        }
    }

    /**
     * The last byte of the body has been read.
     *
     * @param arrivedUs when it arrived
     */
    void receiveBody(long arrivedUs) {
        stage = Stage.BODY_RECEIVED;
        waitsSinceUs = arrivedUs;
    }

    /** Some of the answer is passed on. */
    void startAnswer() {
        stage = Stage.ANSWER_STARTED;
    }

    /** Claims the right to give the final answer; true for the first caller only. */
    boolean finish() {
        boolean first = !finished;
        finished = true;
        return first;
    }
}
