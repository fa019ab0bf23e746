package petrelstand.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * An INI file, parsed by Apache Commons Configuration. The library reports no line numbers, so the line of a section or
 * key is searched for in the text. Every error is an IllegalArgumentException whose message has the form
 * {@code FILE:LINE: [SECTION] KEY problem}. After reading, {@link #rejectUnread} reports unknown sections and keys.
 */
public final class IniFile {
    private static final long MAX_BYTES = 1 << 20;
    private static final Pattern SECTION_HEADER = Pattern.compile("^\\s*\\[(.*?)\\].*");
    private static final Pattern DURATION = Pattern.compile("([0-9]+(?:\\.[0-9]+)?) *(us|ms|s|min|h)");
    private static final Map<String, Double> MICROS_PER_UNIT =
            Map.of("us", 1.0, "ms", 1e3, "s", 1e6, "min", 6e7, "h", 3.6e9);

    private final Path file;
    private final String[] lines;
    private final Map<String, Section> sectionsByName = new HashMap<>();
    private final List<Section> sectionsInOrder = new ArrayList<>();

    /** Reads and parses a UTF-8 file of at most 1 MiB. */
    public static IniFile read(Path file) {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new IllegalArgumentException(file + " is longer than " + MAX_BYTES + " bytes");
            }
            return new IniFile(file, Files.readString(file));
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException(file + " is not UTF-8 text");
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    file + " cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /**
     * Parses a text.
     *
     * @param file names the text in error messages; relative file names in the text are resolved against it
     */
    public IniFile(Path file, String text) {
        this.file = file;
        this.lines = text.split("\r?\n", -1);
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage());
        }
        for (ImmutableNode node : ini.getNodeModel().getInMemoryRepresentation().getChildren()) {
            if (node.getValue() != null) {
                throw new IllegalArgumentException(location(lineNumber(null, node.getNodeName())) + node.getNodeName()
                        + " is before the first section");
            }
            addSection(node);
        }
    }

    private void addSection(ImmutableNode node) {
        Section section = new Section(node.getNodeName());
        if (sectionsByName.put(node.getNodeName(), section) != null) {
            throw new IllegalArgumentException(
                    location(lineNumber(node.getNodeName(), null)) + "[" + node.getNodeName() + "] is given twice");
        }
        sectionsInOrder.add(section);
        for (ImmutableNode key : node.getChildren()) {
            if (section.values.put(
                            key.getNodeName(), String.valueOf(key.getValue()).strip())
                    != null) {
                throw section.error(key.getNodeName(), "is given twice");
            }
        }
    }

    public Path file() {
        return file;
    }

    /** Resolves a file name against the folder of this file. */
    public Path resolveSibling(String name) {
        return file.toAbsolutePath().resolveSibling(name);
    }

    /** Returns the section with this name, or null if there is none. */
    public Section section(String name) {
        Section section = sectionsByName.get(name);
        if (section != null) {
            section.requested = true;
        }
        return section;
    }

    /** Returns the sections named {@code [KIND NAME]}, in the order of the file. */
    public List<Section> sectionsOfKind(String kind) {
        List<Section> found = sectionsInOrder.stream()
                .filter(s -> s.name.startsWith(kind + " "))
                .toList();
        found.forEach(section -> section.requested = true);
        return found;
    }

    /** Throws for the first section or key that the program did not ask for: it is unknown, or a typing error. */
    public void rejectUnread() {
        for (Section section : sectionsInOrder) {
            if (!section.requested) {
                throw new IllegalArgumentException(
                        location(lineNumber(section.name, null)) + "[" + section.name + "] is no section of this file");
            }
            for (String key : section.values.keySet()) {
                if (!section.readKeys.contains(key)) {
                    throw section.error(key, "is no key of this section");
                }
            }
        }
    }

    private String location(int line) {
        return file + ":" + line + ": ";
    }

    /** Returns the line, from 1, of the last occurrence of a key, else that of its section's header, else 1. */
    private int lineNumber(String section, String key) {
        Pattern keyLine = key == null ? null : Pattern.compile("^\\s*" + Pattern.quote(key) + "\\s*([=:].*)?$");
        String currentSection = null;
        int keyLineNumber = 0;
        int sectionLineNumber = 0;
        for (int i = 0; i < lines.length; i++) {
            Matcher header = SECTION_HEADER.matcher(lines[i]);
            if (header.matches()) {
                currentSection = header.group(1).strip();
                sectionLineNumber = currentSection.equals(section) ? i + 1 : sectionLineNumber;
            } else if (keyLine != null
                    && Objects.equals(currentSection, section)
                    && keyLine.matcher(lines[i]).matches()) {
                keyLineNumber = i + 1;
            }
        }
        return Math.max(1, keyLineNumber > 0 ? keyLineNumber : sectionLineNumber);
    }

    /**
     * One section. Each getter marks its key as read. A getter with a default value returns it if the key is missing;
     * the others throw.
     */
    public final class Section {
        private final String name;
        private final Map<String, String> values = new LinkedHashMap<>();
        private final Set<String> readKeys = new HashSet<>();
        private boolean requested;

        private Section(String name) {
            this.name = name;
        }

        public String name() {
            return name;
        }

        /** Creates an error located at a key, or at the section's header if the key is null or missing. */
        public IllegalArgumentException error(String key, String problem) {
            return new IllegalArgumentException(
                    location(lineNumber(name, key)) + "[" + name + "] " + (key == null ? "" : key + " ") + problem);
        }

        public boolean has(String key) {
            readKeys.add(key);
            return values.containsKey(key);
        }

        /** Returns the value of a key that must be there and not empty. */
        public String text(String key) {
            if (!has(key)) {
                throw error(key, "is missing");
            }
            if (values.get(key).isEmpty()) {
                throw error(key, "has no value");
            }
            return values.get(key);
        }

        /** Returns the value, or the default if the key is missing or empty. */
        public String textOrDefault(String key, String defaultValue) {
            return has(key) && !values.get(key).isEmpty() ? values.get(key) : defaultValue;
        }

        /** Returns a duration written with its unit (us, ms, s, min or h), in microseconds, within inclusive bounds. */
        public long durationUs(String key, long defaultUs, long minUs, long maxUs) {
            return has(key) ? durationUs(key, text(key), minUs, maxUs) : defaultUs;
        }

        /** Parses a duration that is the value of a key or a part of it; the key is for the error. */
        public long durationUs(String key, String text, long minUs, long maxUs) {
            Matcher parts = DURATION.matcher(text);
            if (!parts.matches()) {
                throw error(key, "is not a time with its unit, such as 500 ms or 2 s: '" + text + "'");
            }
            double us = Double.parseDouble(parts.group(1)) * MICROS_PER_UNIT.get(parts.group(2));
            if (!(us >= minUs && us <= maxUs)) {
                throw error(key, "must be from " + minUs / 1000.0 + " ms to " + maxUs / 1e6 + " s, not '" + text + "'");
            }
            return (long) us;
        }

        /** Returns a number within inclusive bounds. */
        public double number(String key, double defaultValue, double min, double max) {
            if (!has(key)) {
                return defaultValue;
            }
            double value = Double.NaN;
            try {
                value = Double.parseDouble(text(key));
            } catch (NumberFormatException e) {
                // NaN fails the bounds check below.
            }
            if (!(value >= min && value <= max)) {
                throw error(key, "is not a number from " + min + " to " + max + ": '" + text(key) + "'");
            }
            return value;
        }

        public int integer(String key, int defaultValue, int min, int max) {
            double value = number(key, defaultValue, min, max);
            if (value != Math.rint(value)) {
                throw error(key, "is not a whole number: '" + text(key) + "'");
            }
            return (int) value;
        }

        /** Returns the index of the value in the list of allowed values. */
        public int choiceIndex(String key, List<String> choices) {
            int index = choices.indexOf(text(key));
            if (index < 0) {
                throw error(key, "must be one of " + choices + ", not '" + text(key) + "'");
            }
            return index;
        }

        /** Returns an address, IP:PORT. */
        public String address(String key) {
            try {
                return GatewayConfig.requireAddress(key, text(key));
            } catch (IllegalArgumentException e) {
                throw error(key, "is not an address with a port: '" + text(key) + "'");
            }
        }
    }
}
