import java.io.IOException;

/** Daemon threads, which end with the process; an end of a connection ends its thread. */
final class Threads {
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // The peer or the case has ended it.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(double ms) {
        try {
            Thread.sleep((long) ms, (int) ((ms - (long) ms) * 999_999));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
