package petrelstand;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import petrelstand.config.GatewayConfig;
import petrelstand.sim.InstanceLoop;
import petrelstand.sim.LinkException;

/** Command line of the jar: serves as a gateway, or plays the simulator's wire. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("serve")) {
            serve();
        } else if (args.length == 1 && args[0].equals("wirehost")) {
            wirehost();
        } else {
            System.err.println("usage: java -jar petrelstand.jar serve | wirehost");
            System.exit(2);
        }
    }

    private static void serve() {
        try {
            new Gateway(GatewayConfig.load(System.getenv())).run();
        } catch (IllegalArgumentException e) {
            System.err.println("petrelstand: " + e.getMessage());
            System.exit(1);
        } catch (Exception e) {
            System.err.println("petrelstand: internal fault: " + e);
            System.exit(1);
        }
    }

    private static void wirehost() {
        try {
            new InstanceLoop().run(new BufferedInputStream(System.in, 1 << 16),
                    new BufferedOutputStream(System.out, 1 << 16));
        } catch (LinkException | IOException e) {
            System.err.println("petrelstand: " + e.getMessage());
            System.exit(1);
        } catch (RuntimeException e) {
            System.err.println("petrelstand: internal fault: " + e);
            System.exit(1);
        }
    }
}
