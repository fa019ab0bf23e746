package petrelstand.core;

/** Stands before the decision module where something beyond it rules on requests; it turns away, and sends nothing. */
public interface AdmissionControl {
    /** 0 where a request may go on to the module; else it is refused, and may come back after so many µs. */
    long retryAfterUs(Demand demand, long nowUs);
}
