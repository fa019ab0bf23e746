package standins;

/** Daemon threads. */
public final class Threads {
    /** A task that may throw. */
    public interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    public static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // The end of a socket ends its thread.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
