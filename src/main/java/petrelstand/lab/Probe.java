package petrelstand.lab;

/**
 * Observes a simulation: which process's own code runs, and what it sends and is sent. Processes are numbered from 0.
 * What runs between {@link #left} and {@link #entered} is the simulator's own.
 */
public interface Probe {
    /** Observes nothing. */
    Probe NONE = new Probe() {};

    /** The code of a process begins to run, or goes on. */
    default void entered(int process) {}

    /** The code of a process has returned, or calls the simulator. */
    default void left(int process) {}

    /** A process sent a message of so many bytes. */
    default void sent(int process, int bytes) {}

    /** A message of so many bytes reached a process. */
    default void received(int process, int bytes) {}
}
