package petrelstand.testing;

import petrelstand.core.Attempt;
import petrelstand.core.ClientSide;

/** A client that takes every answer and does nothing with it. */
public class SilentClient implements ClientSide {
    @Override
    public boolean served(Object answer) {
        return true;
    }

    @Override
    public void refused(long retryAfterUs) {}

    @Override
    public void failed(Attempt last) {}
}
