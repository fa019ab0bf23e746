package petrelstand.http;

/**
 * Limits how many requests of one connection the gateway answers by itself in a turn of the event loop, so that a
 * client that sends them without pause can't hold up the others. Each of the others costs an answer of a node. A turn
 * is identified by its time, in microseconds of the loop's clock.
 */
final class TurnAllowance {
    /** Requests that are answered without a node in a turn; well below a millisecond of work. */
    static final int MAX_ANSWERS_PER_TURN = 8;

    private long turnUs;
    private int answers;

    /** Counts a request that was answered without a node. */
    void countAnswer(long nowUs) {
        if (nowUs != turnUs) {
            turnUs = nowUs;
            answers = 0;
        }
        answers++;
    }

    /** Whether further requests have to wait for the next turn. */
    boolean isUsedUp(long nowUs) {
        return nowUs == turnUs && answers >= MAX_ANSWERS_PER_TURN;
    }
}
