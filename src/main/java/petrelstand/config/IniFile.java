package petrelstand.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * The operator's file in INI form, read by Apache Commons Configuration. What that library does not tell, the line of a
 * section or key, is looked up in the text. Every fault is one IllegalArgumentException, FILE:LINE: [SECTION] KEY and
 * what is wrong. A key or section that nobody has asked for by the end is a fault too ({@link #rejectUnread}).
 */
public final class IniFile {
    private static final long MOST_BYTES = 1 << 20;
    private static final Pattern SECTION = Pattern.compile("^\\s*\\[(.*?)\\].*");
    private static final Pattern DURATION = Pattern.compile("([0-9]+(?:\\.[0-9]+)?) *(us|ms|s|min|h)");
    private static final Map<String, Double> UNITS_US = Map.of("us", 1.0, "ms", 1e3, "s", 1e6, "min", 6e7, "h", 3.6e9);

    private final Path file;
    private final String[] lines;
    private final Map<String, Section> sectionsOfKind = new HashMap<>();
    private final List<Section> inOrder = new ArrayList<>();

    /** Reads a file. */
    public static IniFile read(Path file) {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new IllegalArgumentException(file + " is longer than " + MOST_BYTES + " bytes");
            }
            return new IniFile(file, Files.readString(file));
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException(file + " is not UTF-8 text");
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    file + " cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** Reads a text; the file is for messages, and for the names of other files in it, which are relative to it. */
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
                throw new IllegalArgumentException(
                        at(line(null, node.getNodeName())) + node.getNodeName() + " stands before the first section");
            }
            add(node);
        }
    }

    private void add(ImmutableNode node) {
        Section section = new Section(node.getNodeName());
        if (sectionsOfKind.put(node.getNodeName(), section) != null) {
            throw new IllegalArgumentException(
                    at(line(node.getNodeName(), null)) + "[" + node.getNodeName() + "] is there twice");
        }
        inOrder.add(section);
        for (ImmutableNode key : node.getChildren()) {
            if (section.values.put(
                            key.getNodeName(), String.valueOf(key.getValue()).strip())
                    != null) {
                throw section.error(key.getNodeName(), "is there twice");
            }
        }
    }

    public Path file() {
        return file;
    }

    /** A file that this one names: relative names are taken from where this one lies. */
    public Path resolveSibling(String name) {
        return file.toAbsolutePath().resolveSibling(name);
    }

    /** The section of a name, or null. */
    public Section section(String name) {
        Section section = sectionsOfKind.get(name);
        if (section != null) {
            section.asked = true;
        }
        return section;
    }

    /** The sections whose names begin with a word and a space, in the order of the file. */
    public List<Section> sectionsOfKind(String word) {
        List<Section> found =
                inOrder.stream().filter(s -> s.name.startsWith(word + " ")).toList();
        found.forEach(section -> section.asked = true);
        return found;
    }

    /** Refuses the first section or key that was not asked for. */
    public void rejectUnread() {
        for (Section section : inOrder) {
            if (!section.asked) {
                throw new IllegalArgumentException(
                        at(line(section.name, null)) + "[" + section.name + "] is no section of this file");
            }
            for (String key : section.values.keySet()) {
                if (!section.read.contains(key)) {
                    throw section.error(key, "is no key of this section");
                }
            }
        }
    }

    private String at(int line) {
        return file + ":" + line + ": ";
    }

    /** The line, from 1, of the last place where a section, or a key in it, is given; 1 where it is none. */
    private int line(String section, String key) {
        Pattern wanted = key == null ? null : Pattern.compile("^\\s*" + Pattern.quote(key) + "\\s*([=:].*)?$");
        String in = null;
        int found = 0;
        int header = 0;
        for (int i = 0; i < lines.length; i++) {
            Matcher head = SECTION.matcher(lines[i]);
            if (head.matches()) {
                in = head.group(1).strip();
                header = in.equals(section) ? i + 1 : header;
            } else if (wanted != null
                    && java.util.Objects.equals(in, section)
                    && wanted.matcher(lines[i]).matches()) {
                found = i + 1;
            }
        }
        return Math.max(1, found > 0 ? found : header);
    }

    /** One section; what is asked for is marked as read. */
    public final class Section {
        private final String name;
        private final Map<String, String> values = new java.util.LinkedHashMap<>();
        private final Set<String> read = new HashSet<>();
        private boolean asked;

        private Section(String name) {
            this.name = name;
        }

        public String name() {
            return name;
        }

        /** A fault at a key, or at the section where the key is null or missing. */
        public IllegalArgumentException error(String key, String what) {
            return new IllegalArgumentException(
                    at(line(name, key)) + "[" + name + "] " + (key == null ? "" : key + " ") + what);
        }

        public boolean has(String key) {
            read.add(key);
            return values.containsKey(key);
        }

        public String text(String key) {
            if (!has(key)) {
                throw error(key, "is missing");
            }
            if (values.get(key).isEmpty()) {
                throw error(key, "has no value");
            }
            return values.get(key);
        }

        public String textOrDefault(String key, String otherwise) {
            return has(key) && !values.get(key).isEmpty() ? values.get(key) : otherwise;
        }

        /** A time with its unit (us, ms, s, min or h), in microseconds, within bounds. */
        public long durationUs(String key, long otherwise, long leastUs, long mostUs) {
            return has(key) ? durationUs(key, text(key), leastUs, mostUs) : otherwise;
        }

        /** The same of a text that is the key's value or a part of it. */
        public long durationUs(String key, String part, long leastUs, long mostUs) {
            Matcher parts = DURATION.matcher(part);
            if (!parts.matches()) {
                throw error(key, "is not a time with its unit, such as 500 ms or 2 s: '" + part + "'");
            }
            double us = Double.parseDouble(parts.group(1)) * UNITS_US.get(parts.group(2));
            if (!(us >= leastUs && us <= mostUs)) {
                throw error(
                        key, "must be from " + leastUs / 1000.0 + " ms to " + mostUs / 1e6 + " s, not '" + part + "'");
            }
            return (long) us;
        }

        /** A number within bounds. */
        public double number(String key, double otherwise, double least, double most) {
            if (!has(key)) {
                return otherwise;
            }
            double value = Double.NaN;
            try {
                value = Double.parseDouble(text(key));
            } catch (NumberFormatException e) {
                // Refused below, as what is out of bounds is.
            }
            if (!(value >= least && value <= most)) {
                throw error(key, "is not a number from " + least + " to " + most + ": '" + text(key) + "'");
            }
            return value;
        }

        public int integer(String key, int otherwise, int least, int most) {
            double value = number(key, otherwise, least, most);
            if (value != Math.rint(value)) {
                throw error(key, "is not a whole number: '" + text(key) + "'");
            }
            return (int) value;
        }

        /** The place of the value among names. */
        public int choiceIndex(String key, List<String> names) {
            int place = names.indexOf(text(key));
            if (place < 0) {
                throw error(key, "is none of " + names + ": '" + text(key) + "'");
            }
            return place;
        }

        public String address(String key) {
            try {
                return GatewayConfig.requireAddress(key, text(key));
            } catch (IllegalArgumentException e) {
                throw error(key, "is not an address with a port: '" + text(key) + "'");
            }
        }
    }
}
