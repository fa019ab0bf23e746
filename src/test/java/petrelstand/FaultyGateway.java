package petrelstand;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import petrelstand.config.GatewayConfig;

/** The gateway as it is served, with one task on its loop that its argument names, once it serves. For tests. */
public final class FaultyGateway {
    private FaultyGateway() {}

    public static void main(String[] args) throws Exception {
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
        CompletableFuture<Gateway> serving = new CompletableFuture<>();
        serving.thenAccept(gateway -> gateway.execute(() -> {
            System.out.println("fault: " + args[0]);
            System.out.flush();
            fault(args[0]);
        }));
        Main.serve(GatewayConfig.load(System.getenv()), null, serving);
    }

    private static void fault(String name) {
        switch (name) {
            case "memory" -> exhaustHeap();
            case "stack" -> recurse(0);
            case "linkage" -> throw new NoClassDefFoundError("meant/by/the/Test");
            case "stand" -> stall();
            default -> throw new IllegalArgumentException(name);
        }
    }

    private static void exhaustHeap() {
        List<byte[]> kept = new ArrayList<>();
        for (int size = 1 << 20; ; size = Math.max(16, size / 2)) {
            try {
                while (true) {
                    kept.add(new byte[size]);
                }
            } catch (OutOfMemoryError e) {
                if (size == 16) {
                    throw e;
                }
            }
        }
    }

    private static int recurse(int depth) {
        return recurse(depth + 1) + depth;
    }

    private static void stall() {
        while (true) {
            try {
                Thread.sleep(Long.MAX_VALUE);
            } catch (InterruptedException e) {
                // It stands still all the same.
            }
        }
    }
}
