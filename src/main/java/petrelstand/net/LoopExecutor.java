package petrelstand.net;

import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;

/**
 * Starts the loop's thread for the first task, which is Jetty's selector, and queues later tasks for that thread. Tasks
 * of other threads are input: they are run only right after the clock was read.
 */
final class LoopExecutor implements Executor {
    private final Queue<Runnable> othersTasks = new ConcurrentLinkedQueue<>();
    private final Queue<Runnable> ownTasks = new ArrayDeque<>();
    private volatile Thread thread;
    private volatile Selector selector;
    private volatile Thread.UncaughtExceptionHandler fatalErrorHandler;
    private volatile boolean stopping;

    /** Sets the handler of what ends the thread; must be called before the first task. */
    void setFatalErrorHandler(Thread.UncaughtExceptionHandler handler) {
        fatalErrorHandler = handler;
    }

    /** Tells that the selector is about to end as it should. */
    void expectEnd() {
        stopping = true;
    }

    /** Sets the selector that {@link #wake} wakes. */
    void setSelector(Selector loopSelector) {
        selector = loopSelector;
    }

    /** Returns the loop's selector; null before its first select. */
    Selector selector() {
        return selector;
    }

    /** Returns the loop's thread; null before the first task. */
    Thread thread() {
        return thread;
    }

    @Override
    public void execute(Runnable task) {
        if (thread == null) {
            thread = new Thread(() -> runSelector(task), "loop");
            if (fatalErrorHandler != null) {
                thread.setUncaughtExceptionHandler(fatalErrorHandler);
            }
            thread.start();
        } else if (Thread.currentThread() == thread) {
            ownTasks.add(task);
        } else {
            othersTasks.add(task);
            wake();
        }
    }

    private void runSelector(Runnable selectorTask) {
        selectorTask.run();
        if (!stopping) {
            throw new IllegalStateException("the event loop's selector ended without a call to stop()");
        }
    }

    void wake() {
        Selector currentSelector = selector;
        if (currentSelector != null && Thread.currentThread() != thread) {
            currentSelector.wakeup();
        }
    }

    /** Returns whether no task is queued; on the loop's thread. */
    boolean isEmpty() {
        return ownTasks.isEmpty() && othersTasks.isEmpty();
    }

    /** Runs the tasks queued by the loop's thread; tasks that these queue wait for the next call. */
    void runOwnTasks() {
        runAll(ownTasks);
    }

    /** Runs the tasks queued by other threads; tasks that are queued meanwhile wait for the next call. */
    void runOthersTasks() {
        runAll(othersTasks);
    }

    private static void runAll(Queue<Runnable> queue) {
        ArrayDeque<Runnable> due = new ArrayDeque<>();
        for (Runnable task = queue.poll(); task != null; task = queue.poll()) {
            due.add(task);
        }
        due.forEach(EventLoop::runGuarded);
    }
}
