package petrelstand.core;

/**
 * What the decision module has been told of one request and its attempts. The module keeps state from each beginning to
 * its end, so each beginning needs one end.
 */
final class ModuleNotices {
    private boolean requestBegun;
    private boolean requestEnded;
    private int attemptsEnded;

    /** The module is told of the request. */
    void requestBegun() {
        requestBegun = true;
    }

    /** Whether the module has been told of the request. */
    boolean isRequestBegun() {
        return requestBegun;
    }

    /** The module has ended the request, or is told of its end. */
    void requestEnded() {
        requestEnded = true;
    }

    /** The module is told of the end of an attempt. */
    void attemptEnded() {
        attemptsEnded++;
    }

    /** Whether each beginning had one end, at the close of an exchange in which the module sent attempts. */
    boolean isBalanced(int attemptsSent) {
        return requestBegun == requestEnded && attemptsEnded == attemptsSent;
    }
}
