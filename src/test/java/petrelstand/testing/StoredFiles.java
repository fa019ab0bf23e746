package petrelstand.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;

/** Files and messages of an earlier version of the code, kept as test resources under {@code stored}. */
public final class StoredFiles {
    private static final Path ROOT = Path.of("src", "test", "resources", "stored");

    private StoredFiles() {}

    /** Returns the path of a folder below {@code stored}; a store must open a copy of it. */
    public static Path folder(String name) {
        return ROOT.resolve(name);
    }

    /** Returns the content of a file, named by its path below {@code stored}. */
    public static byte[] read(String file) throws IOException {
        return Files.readAllBytes(ROOT.resolve(file));
    }

    /** Copies the files of a folder below {@code stored}, since opening a store may change its folder. */
    public static void copyFolder(String folder, Path target) throws IOException {
        for (Path file : files(folder(folder))) {
            Files.copy(file, target.resolve(file.getFileName()));
        }
    }

    /** Returns the files of a folder by name, without the lock file of a store. */
    public static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> !file.endsWith("lock")).sorted().toList();
        }
    }

    /** Returns the messages of a text file with one message in hex a line; spaces and lines with # are ignored. */
    public static List<byte[]> messages(String file) throws IOException {
        return Files.readAllLines(ROOT.resolve(file)).stream()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .map(line -> HexFormat.of().parseHex(line.replace(" ", "")))
                .toList();
    }
}
