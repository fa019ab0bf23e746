package standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case: opens its record, gives it a temporary folder, and ends the process with the case's result. */
final class Case {
    /** The rule held. */
    static final int HELD = 0;
    /** The rule was broken. */
    static final int BROKEN = 1;
    /** The case could not run. */
    static final int NOT_RUN = 2;

    /** The course of a case; returns its result. */
    interface Play {
        int play(Record record, Path temporaryFolder, boolean trouble) throws Exception;
    }

    private Case() {}

    /** Arguments: the folder of the case, and 1 or 0 for the disruption. */
    static void run(String[] args, Play play) throws IOException {
        Path temporary = Files.createTempDirectory("petrelstand-review");
        int result = NOT_RUN;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            record.line("disruption: %s", args[1].equals("1") ? "yes" : "no");
            result = play.play(record, temporary, args[1].equals("1"));
            record.tell("exit status %d", result);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        delete(temporary);
        System.out.flush();
        Runtime.getRuntime().halt(result);
    }

    private static void delete(Path folder) throws IOException {
        List<Path> files;
        try (Stream<Path> walk = Files.walk(folder)) {
            files = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : files) {
            Files.deleteIfExists(file);
        }
    }

    static void sleepUntil(Record record, double seconds) throws InterruptedException {
        Thread.sleep((long) (1000 * Math.max(0, seconds - record.seconds())));
    }
}
