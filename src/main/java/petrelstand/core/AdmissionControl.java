package petrelstand.core;

/** Decides on requests before the decision module sees them, for example to enforce the fleet's rules. */
public interface AdmissionControl {
    /** Returns 0 to admit the request, else after how many microseconds the refused client may retry. */
    long retryAfterUs(Demand demand, long nowUs);
}
