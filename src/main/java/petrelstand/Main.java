package petrelstand;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import petrelstand.sim.InstanceLoop;
import petrelstand.sim.LinkException;

/** Command line of the jar: plays the simulator's wire on standard input and output. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar petrelstand.jar wirehost");
            System.exit(2);
        }
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
