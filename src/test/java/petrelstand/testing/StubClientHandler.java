package petrelstand.testing;

import petrelstand.core.Attempt;
import petrelstand.core.ClientHandler;

/** A client that takes every answer and does nothing with it. */
public class StubClientHandler implements ClientHandler {
    @Override
    public boolean served(Object answer) {
        return true;
    }

    @Override
    public void refused(long retryAfterUs) {}

    @Override
    public void failed(Attempt last) {}
}
