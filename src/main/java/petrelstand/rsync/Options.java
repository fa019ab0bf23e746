package petrelstand.rsync;

import java.util.List;

/** The options of a transfer that shape its bytes; {@link #parse} takes the subset and names what is outside it. */
record Options(boolean pull, boolean users, boolean groups, boolean devices, boolean links, boolean numericIds) {
    private static final String SHORT = "vqlogDtprudIWxSOJKkE";
    private static final List<String> LONG = List.of(
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

    /** Names of users and groups follow the file list. */
    boolean names() {
        return !numericIds;
    }

    /** Reads what a client sends after its module was accepted; the text of the exception says what is not taken. */
    static Options parse(List<String> arguments, String module) {
        if (arguments.isEmpty() || !arguments.get(0).equals("--server")) {
            throw new RecordReader.Malformed("the first argument must be --server");
        }
        boolean pull = false;
        boolean numeric = false;
        boolean specials = false;
        StringBuilder letters = new StringBuilder();
        int at = 1;
        for (; at < arguments.size() && arguments.get(at).startsWith("-"); at++) {
            String argument = arguments.get(at);
            if (argument.equals("--sender")) {
                pull = true;
            } else if (argument.equals("--numeric-ids")) {
                numeric = true;
            } else if (argument.startsWith("--")) {
                if (!LONG.contains(argument)) {
                    throw new RecordReader.Malformed("option " + argument + " is not carried here");
                }
                specials |= argument.equals("--specials") || argument.equals("--devices");
            } else {
                letters.append(shortOptions(argument));
            }
        }
        if (at + 1 >= arguments.size() || !arguments.get(at).equals(".")) {
            throw new RecordReader.Malformed("a '.' and a path must follow the options");
        }
        for (String path : arguments.subList(at + 1, arguments.size())) {
            checkPath(path, module);
        }
        String all = letters.toString();
        return new Options(
                pull, all.contains("o"), all.contains("g"), specials || all.contains("D"), all.contains("l"), numeric);
    }

    /** The letters of a cluster; what follows an 'e' only tells what the client could do in later protocols. */
    private static String shortOptions(String argument) {
        int end = argument.indexOf('e');
        String letters = end < 0 ? argument.substring(1) : argument.substring(1, end);
        for (char letter : letters.toCharArray()) {
            if (SHORT.indexOf(letter) < 0) {
                throw new RecordReader.Malformed("option -" + letter + " is not carried here");
            }
        }
        return letters;
    }

    /** A path may not leave the module that was asked for and charged. */
    private static void checkPath(String path, String module) {
        boolean within = path.equals(module) || path.startsWith(module + "/");
        if (!within || List.of(path.split("/")).contains("..")) {
            throw new RecordReader.Malformed("path '" + path + "' is not in module " + module);
        }
    }
}
