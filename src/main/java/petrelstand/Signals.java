package petrelstand;

import java.lang.reflect.Proxy;

/**
 * The one place that touches the JDK's own signal class, by reflection: javac warns of any other use, and warnings are
 * errors here. The JDK has no public way to handle a signal.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs the action, on a thread of its own, each time the signal comes: "HUP" for SIGHUP. False where whoever
     * started the process has it ignored, as {@code nohup} does: the JVM keeps that, and the action never runs.
     */
    static boolean handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object newHandler = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        action.run();
                        return null;
                    });
            Object previousHandler = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), newHandler);
            return previousHandler != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIG" + name + " cannot be handled: " + e);
        }
    }
}
