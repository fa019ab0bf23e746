package petrelstand.lab.check;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import petrelstand.lab.check.Lines.Line;
import petrelstand.lab.check.Verdict.Outcome;

/**
 * Reads what a harness did ({@code trial.jsonl}) and what each process saw ({@code history-*.jsonl}), and says whether
 * the promises of membership held. It shares no code with the program or the harness: it knows the lines alone. All
 * times are of the machine's monotonic clock, in microseconds. Each bound has the slack {@link #SLACK_US}; where the
 * machine was later than {@link #SLOW_US}, nothing is said.
 */
public final class HistoryCheck {
    /** What a loaded machine may add to each bound. */
    static final long SLACK_US = 1_000_000;
    /** A process or the harness that stood still for longer, unasked, makes a trial inconclusive. */
    static final long SLOW_US = 600_000;
    /** A start takes up to so long until the process is a member. */
    private static final long START_US = 5_000_000;

    private static final long NEVER_US = Long.MAX_VALUE / 2;
    private static final Set<String> GONE = Set.of("FAILED", "LEFT");
    private static final Set<String> THERE = Set.of("ALIVE", "SUSPECT", "LEAVING");

    /** A stretch of time in which a process, or all links, did not work as they should, and how badly. */
    private record Trouble(String kind, String process, long fromUs, long untilUs, long amount) {
        boolean within(long from, long until) {
            return fromUs <= until && untilUs >= from;
        }
    }

    /** One life of a process, as the harness began and ended it. */
    private record Life(String process, int number, String boot, long fromUs, long untilUs, String end, boolean guest) {
        boolean up(long us) {
            return us >= fromUs && us < untilUs;
        }
    }

    private final List<Line> trial;
    private final Map<String, List<Line>> histories;
    private final List<Trouble> troubles = new ArrayList<>();
    private final List<Life> lives = new ArrayList<>();
    private final List<Long> detected = new ArrayList<>();
    private final long detectUs;
    private final long silenceUs;
    private final long oneViewUs;
    private final long endUs;
    private final long calmUs;
    private Verdict broken;

    private HistoryCheck(Path folder) throws IOException {
        trial = Lines.read(folder.resolve("trial.jsonl"));
        histories = Lines.histories(folder);
        Line head = Lines.one(trial, "trial");
        Line end = Lines.one(trial, "end");
        detectUs = head.number("detect_us");
        silenceUs = head.number("silence_us");
        oneViewUs = head.number("one_view_us");
        endUs = end.us();
        calmUs = Math.max(end.number("calm_us"), head.us());
        findLives();
        findTroubles();
    }

    /** The verdict on a trial's folder. */
    public static Verdict check(Path folder) throws IOException {
        HistoryCheck check = new HistoryCheck(folder);
        Verdict slow = check.slow();
        check.known();
        check.neverFalse();
        check.awayFirst();
        check.incarnationsGrow();
        check.neverBack();
        check.oneName();
        check.oneView();
        check.served();
        if (check.broken != null && slow == null) {
            return check.broken;
        }
        return slow != null ? slow : new Verdict(Outcome.PASSED, "", List.of(), check.detected);
    }

    private void breaks(String rule, Line... lines) {
        List<String> excerpt = new ArrayList<>();
        for (Line line : lines) {
            if (line != null) {
                excerpt.add(line.text());
            }
        }
        Verdict found = new Verdict(Outcome.FAILED, rule, excerpt, List.of());
        if (broken == null || excerpt.size() < broken.excerpt().size()) {
            broken = found;
        }
    }

    // ---- What was done ----

    private void findLives() {
        Map<Integer, Line> open = new HashMap<>();
        for (Line line : trial) {
            int number = (int) line.number("number");
            switch (line.get("event")) {
                case "start" -> open.put(number, line);
                case "kill", "term" -> close(open.remove(number), line.us(), line.get("event"));
                default -> {}
            }
        }
        open.values().stream()
                .sorted(java.util.Comparator.comparingLong(Line::us))
                .forEach(start -> close(start, NEVER_US, ""));
    }

    private boolean guest(int number) throws IllegalStateException {
        return number >= trial.get(0).number("processes");
    }

    private void close(Line start, long untilUs, String end) {
        if (start == null) {
            return;
        }
        int number = (int) start.number("number");
        boolean guest = guest(number);
        String file = (guest ? "guest-" : "") + start.get("process");
        List<Line> begun = histories.getOrDefault(file, List.of()).stream()
                .filter(l -> l.get("event").equals("started") && l.us() >= start.us())
                .toList();
        String boot = begun.isEmpty() ? "" : begun.get(0).get("boot");
        lives.add(new Life(start.get("process"), number, boot, start.us(), untilUs, end, guest));
    }

    private void findTroubles() {
        for (Life life : lives) {
            // Starting is no trouble of the others, but the process itself is not to be counted on.
            troubles.add(new Trouble("START", life.process, life.fromUs, life.fromUs + START_US, 0));
            if (life.untilUs < NEVER_US) {
                troubles.add(new Trouble("DOWN", life.process, life.untilUs, life.untilUs + silenceUs, 0));
            }
        }
        Map<String, Line> stopped = new HashMap<>();
        for (Line line : trial) {
            String process = line.get("process");
            switch (line.get("event")) {
                case "stop" -> stopped.put(process, line);
                case "cont" -> {
                    Line from = stopped.remove(process);
                    if (from != null) {
                        troubles.add(new Trouble("STOP", process, from.us(), line.us(), line.us() - from.us()));
                    }
                }
                case "link" -> {
                    String kind = line.get("kind");
                    boolean all = Set.of("CUT", "LOSS", "REPEAT", "REORDER").contains(kind);
                    troubles.add(new Trouble(
                            kind,
                            all ? "" : "g" + line.number("who"),
                            line.us(),
                            line.number("until_us"),
                            line.number("amount")));
                    if (kind.equals("PAIR")) {
                        troubles.add(new Trouble(
                                kind,
                                "g" + (line.number("who") + 1) % trial.get(0).number("processes"),
                                line.us(),
                                line.number("until_us"),
                                0));
                    }
                }
                default -> {}
            }
        }
    }

    /** Troubles that excuse a member from being held alive: stalls over a second, lasting cuts, heavy loss. */
    private static boolean grave(Trouble trouble) {
        return switch (trouble.kind) {
            case "STOP" -> trouble.amount > 1_000_000;
            case "LOSS" -> trouble.amount > 10;
            case "SLOW", "REORDER" -> trouble.amount > 300;
            case "REPEAT", "PAIR", "START" -> false;
            default -> true;
        };
    }

    private boolean troubled(String process, long from, long until, boolean graveOnly) {
        return troubles.stream()
                .anyMatch(t -> (t.process.isEmpty() || t.process.equals(process))
                        && (!graveOnly || grave(t))
                        && t.within(from, until));
    }

    private Life life(String process, long us) {
        return lives.stream()
                .filter(l -> !l.guest && l.process.equals(process) && l.up(us))
                .findFirst()
                .orElse(null);
    }

    private List<Line> views(String process) {
        return histories.getOrDefault(process, List.of()).stream()
                .filter(l -> l.get("event").equals("view"))
                .toList();
    }

    // ---- The machine ----

    private Verdict slow() throws IOException {
        Line end = Lines.one(trial, "end");
        if (end.number("late_us") > SLOW_US) {
            return new Verdict(
                    Outcome.INCONCLUSIVE,
                    "too slow: the harness was " + end.number("late_us") / 1000 + " ms late",
                    List.of(),
                    List.of());
        }
        for (Map.Entry<String, List<Line>> history : histories.entrySet()) {
            for (Line line : history.getValue()) {
                boolean asked = troubles.stream()
                        .anyMatch(t -> t.process.equals(line.get("process"))
                                && (t.kind.equals("STOP") || t.kind.equals("START"))
                                && t.within(line.us() - line.number("us") - SLACK_US, line.us()));
                if (line.get("event").equals("stalled") && line.number("us") > SLOW_US && !asked) {
                    return new Verdict(
                            Outcome.INCONCLUSIVE,
                            "too slow: " + history.getKey() + " was " + line.number("us") / 1000 + " ms late",
                            List.of(line.text()),
                            List.of());
                }
                if (line.number("dropped") > 0) {
                    return new Verdict(
                            Outcome.INCONCLUSIVE,
                            "too slow: " + history.getKey() + " dropped " + line.number("dropped")
                                    + " lines of its history",
                            List.of(line.text()),
                            List.of());
                }
            }
        }
        return null;
    }

    // ---- The promises ----

    /** A member that ended is gone in the view of all that live and were not troubled, within the stated time. */
    private void known() {
        for (Life ended : lives) {
            long bound = ended.untilUs + detectUs + SLACK_US;
            boolean again = lives.stream()
                    .anyMatch(l -> l != ended
                            && l.process.equals(ended.process)
                            && l.fromUs >= ended.untilUs
                            && l.fromUs < bound + START_US);
            if (ended.guest || ended.untilUs == NEVER_US || again || bound > endUs) {
                continue;
            }
            for (Life other : lives) {
                if (other == ended
                        || other.guest
                        || other.fromUs + START_US > ended.untilUs
                        || other.untilUs < bound
                        || troubled(other.process, ended.untilUs - silenceUs, bound, true)) {
                    continue;
                }
                Line first = views(other.process).stream()
                        .filter(l -> l.get("boot").equals(ended.boot)
                                && GONE.contains(l.get("state"))
                                && l.us() >= ended.untilUs)
                        .findFirst()
                        .orElse(null);
                if (first == null || first.us() > bound) {
                    breaks(
                            other.process + " did not hold " + ended.process + " to be gone within "
                                    + (detectUs + SLACK_US) / 1000 + " ms of its end",
                            doing(ended.end, ended.process, ended.untilUs),
                            first);
                } else {
                    detected.add(first.us() - ended.untilUs);
                }
            }
        }
    }

    private Line doing(String event, String process, long us) {
        return trial.stream()
                .filter(l -> l.get("event").equals(event) && l.get("process").equals(process) && l.us() == us)
                .findFirst()
                .orElse(null);
    }

    /** Nobody that runs and is not gravely troubled is held to be failed by one who is not either. */
    private void neverFalse() {
        for (String process : histories.keySet()) {
            for (Line line : views(process)) {
                Life of = lives.stream()
                        .filter(l -> l.boot.equals(line.get("boot")))
                        .findFirst()
                        .orElse(null);
                long from = line.us() - silenceUs - SLACK_US;
                if (line.get("state").equals("FAILED")
                        && of != null
                        && !of.guest
                        && of.up(line.us())
                        && of.fromUs < from
                        && !troubled(of.process, from, line.us(), true)
                        && !troubled(line.get("process"), from, line.us(), true)) {
                    breaks(process + " held " + of.process + " to be failed while it ran", line);
                }
            }
        }
    }

    /** Who was stopped for long says first that it is no member. */
    private void awayFirst() {
        for (Trouble stop : troubles) {
            if (!stop.kind.equals("STOP") || stop.amount < silenceUs + SLACK_US) {
                continue;
            }
            Life life = life(stop.process, stop.untilUs);
            Line next = histories.getOrDefault(stop.process, List.of()).stream()
                    .filter(l -> l.us() > stop.untilUs
                            && !l.get("event").equals("stalled")
                            && !l.get("event").equals("said"))
                    .findFirst()
                    .orElse(null);
            boolean first = next != null
                    && next.get("member").equals(stop.process)
                    && next.get("state").equals("JOINING");
            if (life != null && life.untilUs > stop.untilUs + SLACK_US && !first) {
                breaks(stop.process + " acted as a member after " + stop.amount / 1000 + " ms away", next);
            }
        }
    }

    /** The incarnation of one life never falls, and a later life of a name is taken with a higher one. */
    private void incarnationsGrow() {
        for (Map.Entry<String, List<Line>> history : histories.entrySet()) {
            Map<String, Line> last = new HashMap<>();
            for (Line line : views(history.getKey())) {
                String member = line.get("member");
                Line before = last.put(member, line);
                boolean own = member.equals(line.get("process"));
                boolean falls = before != null && line.number("incarnation") < before.number("incarnation");
                boolean same = before != null && line.get("boot").equals(before.get("boot"));
                if (falls && (same || !own) && !line.get("from").isEmpty()) {
                    breaks("the incarnation of " + member + " fell in the view of " + history.getKey(), before, line);
                }
            }
        }
    }

    /** A life that is over and was held to be gone is never there again, but for one who had heard nobody. */
    private void neverBack() {
        for (String process : histories.keySet()) {
            Map<String, Line> gone = new HashMap<>();
            for (Line line : views(process)) {
                if (line.get("event").equals("started")) {
                    gone.clear();
                }
                String boot = line.get("boot");
                Life of = lives.stream()
                        .filter(l -> l.boot.equals(boot))
                        .findFirst()
                        .orElse(null);
                boolean over = of != null && line.us() > of.untilUs + SLACK_US;
                if (GONE.contains(line.get("state")) && !line.get("cause").equals("nobody is heard here")) {
                    gone.put(boot, line);
                } else if (over && THERE.contains(line.get("state")) && gone.containsKey(boot)) {
                    breaks(process + " took " + line.get("member") + " back, which is over", gone.get(boot), line);
                }
            }
        }
    }

    /** Of two processes under one name one steps back. */
    private void oneName() {
        for (Life guest : lives) {
            if (!guest.guest) {
                continue;
            }
            List<Line> own = views("guest-" + guest.process);
            Line joined = own.stream()
                    .filter(l -> l.get("member").equals(guest.process)
                            && l.get("state").equals("ALIVE"))
                    .findFirst()
                    .orElse(null);
            Life holder = joined == null ? null : life(guest.process, joined.us());
            Line after = joined == null
                    ? null
                    : own.stream()
                            .filter(l -> l.us() > joined.us() && l.get("member").equals(guest.process))
                            .findFirst()
                            .orElse(null);
            boolean both = holder != null && (after == null ? guest.untilUs : after.us()) - joined.us() > SLACK_US;
            if (both && !troubled(guest.process, joined.us() - silenceUs, joined.us() + SLACK_US, true)) {
                breaks("two processes were " + guest.process + " at one time", joined, after);
            }
            boolean stranger = guest.process.equals("stranger");
            for (String process : histories.keySet()) {
                Line taken = stranger
                        ? views(process).stream()
                                .filter(l -> l.get("member").equals("stranger") && !process.startsWith("guest-"))
                                .findFirst()
                                .orElse(null)
                        : null;
                if (taken != null) {
                    breaks(process + " took a process with another key for a member", taken);
                }
            }
        }
    }

    /** A stated time after the last fault all that run hold just those that run to be there. */
    private void oneView() {
        long at = Math.max(
                        calmUs,
                        lives.stream()
                                .mapToLong(l -> l.fromUs + START_US - oneViewUs)
                                .max()
                                .orElse(0))
                + oneViewUs
                + SLACK_US;
        if (at > endUs) {
            at = endUs;
        }
        Map<String, String> there = new LinkedHashMap<>();
        for (Life life : lives) {
            if (!life.guest && life.up(at)) {
                there.put(life.process, life.boot);
            }
        }
        for (String process : there.keySet()) {
            Map<String, Line> last = new TreeMap<>();
            for (Line line : histories.getOrDefault(process, List.of())) {
                if (line.get("event").equals("started")) {
                    last.clear();
                }
                if (line.get("event").equals("view") && line.us() <= at) {
                    last.put(line.get("member"), line);
                }
            }
            for (Map.Entry<String, String> member : there.entrySet()) {
                Line line = last.get(member.getKey());
                if (line == null
                        || !line.get("state").equals("ALIVE")
                        || !line.get("boot").equals(member.getValue())) {
                    breaks(
                            process + " did not hold " + member.getKey() + " to be there "
                                    + (oneViewUs + SLACK_US) / 1000 + " ms after the last fault",
                            line == null ? trial.get(0) : line);
                }
            }
            for (Line line : last.values()) {
                if (THERE.contains(line.get("state")) && !there.containsKey(line.get("member"))) {
                    breaks(
                            process + " held " + line.get("member")
                                    + " to be there after the last fault, and it was not",
                            line);
                }
            }
        }
    }

    /** Where gateways agree on limits a refusal is an answer; that no more than these is refused is another check's. */
    private long answered(Line load) {
        return load.number("served") + (trial.get(0).number("voters") > 0 ? load.number("refused") : 0);
    }

    /** A gateway that is not itself struck serves its clients whatever happens between gateways. */
    private void served() {
        long asked = 0;
        long served = 0;
        Line worst = null;
        for (Line line : trial) {
            if (!line.get("event").equals("load")) {
                continue;
            }
            String process = line.get("process");
            long from = line.number("from_us");
            boolean struck = troubles.stream()
                            .anyMatch(t -> t.process.equals(process)
                                    && (t.kind.equals("STOP") || t.kind.equals("DOWN") || t.kind.equals("START"))
                                    && t.within(from - 2_000_000, from + 3_000_000))
                    || life(process, from) == null;
            if (!struck) {
                asked += line.number("asked");
                served += answered(line);
                long lost = line.number("asked") - answered(line);
                worst = worst == null || lost > worst.number("asked") - answered(worst) ? line : worst;
            }
        }
        if (served < asked * 0.99) {
            breaks("gateways that were not struck served " + served + " of " + asked + " requests", worst);
        }
    }
}
