package petrelstand.rsync;

import java.util.List;

/**
 * The options that decide how the streams of a transfer are parsed.
 *
 * @param pull whether the node sends and the client receives
 * @param preserveUsers whether file entries carry user ids
 * @param preserveGroups whether file entries carry group ids
 * @param preserveDevices whether entries of devices and special files carry device numbers
 * @param preserveLinks whether entries of symbolic links carry their target
 * @param numericIds whether the names of users and groups are left out
 */
record TransferOptions(
        boolean pull,
        boolean preserveUsers,
        boolean preserveGroups,
        boolean preserveDevices,
        boolean preserveLinks,
        boolean numericIds) {
    private static final String SUPPORTED_SHORT_OPTIONS = "vqlogDtprudIWxSOJKkE";
    private static final List<String> SUPPORTED_LONG_OPTIONS = List.of(
            "--partial",
            "--size-only",
            "--ignore-times",
            "--existing",
            "--ignore-existing",
            "--omit-dir-times",
            "--specials",
            "--devices",
            "--one-file-system",
            "--whole-file");

    /** Whether the names of users and groups follow the file list. */
    boolean sendsIdNames() {
        return !numericIds;
    }

    /**
     * Parses the arguments that a client sends after the module was opened.
     *
     * @throws RecordReader.ProtocolException naming the argument, if it is outside the supported subset or the module
     */
    static TransferOptions parse(List<String> arguments, String module) {
        if (arguments.isEmpty() || !arguments.get(0).equals("--server")) {
            throw new RecordReader.ProtocolException("the first argument must be --server");
        }
        boolean pull = false;
        boolean numericIds = false;
        boolean specials = false;
        StringBuilder letters = new StringBuilder();
        int index = 1;
        for (; index < arguments.size() && arguments.get(index).startsWith("-"); index++) {
            String argument = arguments.get(index);
            if (argument.equals("--sender")) {
                pull = true;
            } else if (argument.equals("--numeric-ids")) {
                numericIds = true;
            } else if (argument.startsWith("--")) {
                if (!SUPPORTED_LONG_OPTIONS.contains(argument)) {
                    throw new RecordReader.ProtocolException("option " + argument + " is not carried here");
                }
                specials |= argument.equals("--specials") || argument.equals("--devices");
            } else {
                letters.append(parseShortOptions(argument));
            }
        }
        if (index + 1 >= arguments.size() || !arguments.get(index).equals(".")) {
            throw new RecordReader.ProtocolException("a '.' and a path must follow the options");
        }
        for (String path : arguments.subList(index + 1, arguments.size())) {
            checkPath(path, module);
        }
        String shortOptions = letters.toString();
        return new TransferOptions(
                pull,
                shortOptions.contains("o"),
                shortOptions.contains("g"),
                specials || shortOptions.contains("D"),
                shortOptions.contains("l"),
                numericIds);
    }

    /** Checks the letters of an argument; those after 'e' are capabilities of later protocols and are ignored. */
    private static String parseShortOptions(String argument) {
        int end = argument.indexOf('e');
        String letters = end < 0 ? argument.substring(1) : argument.substring(1, end);
        for (char letter : letters.toCharArray()) {
            if (SUPPORTED_SHORT_OPTIONS.indexOf(letter) < 0) {
                throw new RecordReader.ProtocolException("option -" + letter + " is not carried here");
            }
        }
        return letters;
    }

    /** Rejects a path outside the module that was requested and is charged for the transfer. */
    private static void checkPath(String path, String module) {
        boolean inModule = path.equals(module) || path.startsWith(module + "/");
        if (!inModule || List.of(path.split("/")).contains("..")) {
            throw new RecordReader.ProtocolException("path '" + path + "' is not in module " + module);
        }
    }
}
