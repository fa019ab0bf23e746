package petrelstand;

import java.lang.reflect.Proxy;

/**
 * Handles signals through the JDK's internal signal class, since there is no public one. By reflection, because javac
 * warns of a direct use and warnings are errors here.
 */
final class Signals {
    private Signals() {}

    /**
     * Runs the action, on a thread of its own, each time a signal arrives ("HUP" for SIGHUP). Returns false if the
     * process was started with the signal ignored, as by {@code nohup}: the JVM keeps it ignored and the action never
     * runs.
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
