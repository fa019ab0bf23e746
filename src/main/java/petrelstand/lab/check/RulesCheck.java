package petrelstand.lab.check;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import petrelstand.lab.check.Lines.Line;
import petrelstand.lab.check.Verdict.Outcome;

/**
 * Reads what a harness did ({@code trial.jsonl}), on which version each process acted ({@code history-*.jsonl}) and
 * what voters showed at the end ({@code rules-*.json}), and says whether the promises of agreed rules held. It shares
 * no code with the program or the harness. All times are of the machine's monotonic clock, µs. A process does not act
 * while it is stopped; when it goes on it has {@link #TURN_US} for its first turn.
 */
public final class RulesCheck {
    /** After SIGCONT a process's first turn, and its line, come within this time. */
    static final long TURN_US = 300_000;
    /** What a loaded machine may add to a bound in which waiting is part of the promise. */
    static final long SLACK_US = 1_000_000;
    /** A process or the harness that stood still for longer, unasked, makes a trial inconclusive. */
    static final long SLOW_US = 600_000;
    /** Until all that run act on the last version, after the faults: an election, a promise, a start. */
    static final long SETTLE_US = 8_000_000;

    private static final long NEVER_US = Long.MAX_VALUE / 2;

    /** A stretch in which a process acted on a version under a lease. */
    private record Act(String process, long version, JsonObject limits, long fromUs, long untilUs, Line line) {}

    private final List<Line> trial;
    private final Map<String, List<Line>> histories;
    private final Map<String, JsonObject> pages = new TreeMap<>();
    private final List<Act> acts = new ArrayList<>();
    private final List<Long> contradictions = new ArrayList<>();
    private final List<Long> took = new ArrayList<>();
    private final long promiseUs;
    private final long endUs;
    private final long calmUs;
    private Verdict broken;

    private RulesCheck(Path folder) throws IOException {
        trial = Lines.read(folder.resolve("trial.jsonl"));
        histories = Lines.histories(folder);
        histories.keySet().removeIf(name -> name.startsWith("guest"));
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.sorted().toList()) {
                String name = file.getFileName().toString();
                if (name.startsWith("rules-") && name.endsWith(".json")) {
                    pages.put(
                            name, JsonParser.parseString(Files.readString(file)).getAsJsonObject());
                }
            }
        }
        Line end = Lines.one(trial, "end");
        promiseUs = trial.get(0).number("promise_us");
        endUs = end.us();
        calmUs = end.number("calm_us");
        findActs();
    }

    /** What was found: the verdict, and the measurements for a report. */
    public record Found(Verdict verdict, int agreed, List<Long> tookUs, List<Long> contradictionsUs) {}

    /** The verdict on a trial's folder. */
    public static Found check(Path folder) throws IOException {
        RulesCheck check = new RulesCheck(folder);
        Verdict slow = check.slow();
        check.contradictions();
        check.forward();
        check.stale();
        check.kept();
        check.settled();
        check.admitted();
        Verdict verdict = slow != null
                ? slow
                : check.broken != null ? check.broken : new Verdict(Outcome.PASSED, "", List.of(), List.of());
        return new Found(
                verdict,
                (int) check.trial.stream()
                        .filter(l -> l.get("event").equals("agreed"))
                        .count(),
                check.took,
                check.contradictions);
    }

    private void breaks(String rule, Line... lines) {
        if (broken == null) {
            List<String> excerpt = new ArrayList<>();
            for (Line line : lines) {
                if (line != null) {
                    excerpt.add(line.text());
                }
            }
            broken = new Verdict(Outcome.FAILED, rule, excerpt, List.of());
        }
    }

    /** Stretches under a lease, cut where the process was stopped or ended. */
    private void findActs() {
        for (Map.Entry<String, List<Line>> history : histories.entrySet()) {
            String process = history.getKey();
            List<long[]> away = new ArrayList<>();
            long stoppedUs = -1;
            long downUs = -1;
            for (Line line : trial) {
                if (!line.get("process").equals(process)) {
                    continue;
                }
                switch (line.get("event")) {
                    case "stop" -> stoppedUs = line.us();
                    case "cont" -> {
                        away.add(new long[] {stoppedUs, line.us() + TURN_US});
                        stoppedUs = -1;
                    }
                    case "kill", "term" -> downUs = line.us();
                    case "start" -> {
                        if (downUs >= 0) {
                            away.add(new long[] {downUs, line.us()});
                        }
                        downUs = -1;
                    }
                    default -> {}
                }
            }
            if (downUs >= 0 || stoppedUs >= 0) {
                away.add(new long[] {downUs >= 0 ? downUs : stoppedUs, NEVER_US});
            }
            Line acting = null;
            for (Line line : history.getValue()) {
                boolean rules = line.get("event").equals("rules");
                if (rules
                        || line.get("event").equals("started")
                        || line.get("event").equals("ended")) {
                    if (acting != null) {
                        add(process, acting, acting.us(), line.us(), away);
                    }
                    acting = rules && line.get("mode").equals("LEASED") ? line : null;
                }
            }
            if (acting != null) {
                add(process, acting, acting.us(), endUs, away);
            }
        }
    }

    private void add(String process, Line line, long from, long until, List<long[]> away) {
        for (long[] gap : away) {
            if (gap[0] < until && gap[1] > from) {
                if (gap[0] > from) {
                    add(process, line, from, gap[0], List.of());
                }
                if (gap[1] < until) {
                    List<long[]> others = new ArrayList<>(away);
                    others.remove(gap);
                    add(process, line, gap[1], until, others);
                }
                return;
            }
        }
        acts.add(new Act(process, line.number("version"), line.json().getAsJsonObject("limits"), from, until, line));
    }

    private Verdict slow() {
        for (Line line : trial) {
            if (line.get("event").equals("end") && line.number("late_us") > SLOW_US) {
                return new Verdict(
                        Outcome.INCONCLUSIVE,
                        "too slow: the harness was " + line.number("late_us") / 1000 + " ms late",
                        List.of(),
                        List.of());
            }
            if (line.get("event").equals("driver failed")) {
                return new Verdict(
                        Outcome.INCONCLUSIVE, "the driver failed: " + line.get("fault"), List.of(), List.of());
            }
        }
        for (Map.Entry<String, List<Line>> history : histories.entrySet()) {
            long startedUs = 0;
            for (Line line : history.getValue()) {
                startedUs = line.get("event").equals("started") ? line.us() : startedUs;
                long us = line.us();
                boolean asked = us - startedUs < 5_000_000
                        || trial.stream()
                                .anyMatch(l -> l.get("event").equals("cont")
                                        && l.get("process").equals(history.getKey())
                                        && Math.abs(us - l.us()) < SLACK_US);
                if (line.get("event").equals("stalled") && line.number("us") > SLOW_US && !asked
                        || line.number("dropped") > 0) {
                    return new Verdict(
                            Outcome.INCONCLUSIVE,
                            "too slow: " + history.getKey() + " was " + line.number("us") / 1000 + " ms late",
                            List.of(line.text()),
                            List.of());
                }
            }
        }
        return null;
    }

    /** Two that act on different versions at one moment have done so for less than the promise. */
    private void contradictions() {
        Map<String, List<long[]>> overlaps = new HashMap<>();
        Map<String, Act[]> proof = new HashMap<>();
        for (int i = 0; i < acts.size(); i++) {
            for (int j = i + 1; j < acts.size(); j++) {
                Act a = acts.get(i);
                Act b = acts.get(j);
                long from = Math.max(a.fromUs, b.fromUs);
                long until = Math.min(a.untilUs, b.untilUs);
                if (a.process.equals(b.process) || until <= from || a.limits.equals(b.limits)) {
                    continue;
                }
                String pair =
                        a.process.compareTo(b.process) < 0 ? a.process + " " + b.process : b.process + " " + a.process;
                overlaps.computeIfAbsent(pair, p -> new ArrayList<>()).add(new long[] {from, until});
                proof.put(pair + " " + from, new Act[] {a, b});
            }
        }
        overlaps.forEach((pair, stretches) -> {
            stretches.sort((a, b) -> Long.compare(a[0], b[0]));
            long from = -1;
            long until = -1;
            for (long[] stretch : stretches) {
                if (stretch[0] > until) {
                    contradicted(pair, from, until, proof);
                    from = stretch[0];
                    until = stretch[1];
                } else {
                    until = Math.max(until, stretch[1]);
                }
            }
            contradicted(pair, from, until, proof);
        });
    }

    private void contradicted(String pair, long from, long until, Map<String, Act[]> proof) {
        if (from < 0) {
            return;
        }
        contradictions.add(until - from);
        if (until - from >= promiseUs) {
            Act[] both = proof.get(pair + " " + from);
            breaks(
                    pair.replace(" ", " and ") + " contradicted each other for " + (until - from) / 1000
                            + " ms, the promise is " + promiseUs / 1000,
                    both[0].line,
                    both[1].line);
        }
    }

    /** Nobody acts on a version once another has acted on a later one for a promise's time. */
    private void stale() {
        TreeMap<Long, Act> first = new TreeMap<>();
        for (Act act : acts) {
            first.merge(act.version, act, (a, b) -> a.fromUs <= b.fromUs ? a : b);
        }
        for (Act act : acts) {
            for (Act later : first.tailMap(act.version, false).values()) {
                if (act.untilUs > later.fromUs + promiseUs) {
                    breaks(
                            act.process + " acted on version " + act.version + " until "
                                    + (act.untilUs - later.fromUs) / 1000 + " ms after " + later.process
                                    + " acted on version "
                                    + later.version,
                            act.line,
                            later.line);
                }
            }
        }
    }

    /** Within a life versions only grow. */
    private void forward() {
        for (List<Line> history : histories.values()) {
            Line last = null;
            for (Line line : history) {
                if (line.get("event").equals("started")) {
                    last = null;
                } else if (line.get("event").equals("rules")) {
                    if (last != null && line.number("version") < last.number("version")) {
                        breaks(
                                line.get("process") + " went back from version " + last.get("version") + " to "
                                        + line.get("version"),
                                last,
                                line);
                    }
                    last = line;
                }
            }
        }
    }

    /** What was acknowledged is there, once, and all voters tell one history. */
    private void kept() {
        Map<Long, Line> agreed = new TreeMap<>();
        for (Line line : trial) {
            if (line.get("event").equals("agreed")) {
                Line other = agreed.put(line.number("version"), line);
                if (other != null) {
                    breaks("two changes were acknowledged as version " + line.get("version"), other, line);
                }
            }
        }
        Map<Long, String> told = new TreeMap<>();
        long newest = 0;
        long eldest = NEVER_US;
        for (Map.Entry<String, JsonObject> page : pages.entrySet()) {
            if (!page.getValue().has("versions")) {
                continue;
            }
            newest = Math.max(newest, page.getValue().get("newest").getAsLong());
            long first = NEVER_US;
            for (JsonElement element : page.getValue().getAsJsonArray("versions")) {
                JsonObject version = element.getAsJsonObject();
                long number = version.get("version").getAsLong();
                first = Math.min(first, number);
                String text = version.get("base") + " " + version.get("why") + " " + version.get("text");
                String other = told.putIfAbsent(number, text);
                if (other != null && !other.equals(text)) {
                    breaks(
                            "version " + number + " is not the same at all voters: " + page.getKey(),
                            agreed.get(number));
                }
            }
            eldest = Math.min(eldest, first);
        }
        for (Map.Entry<Long, Line> one : agreed.entrySet()) {
            boolean kept = told.containsKey(one.getKey())
                    && told.get(one.getKey())
                            .contains("\"change " + one.getValue().get("change") + "\"");
            if (!pages.isEmpty() && newest > 0 && (one.getKey() > newest || one.getKey() >= eldest && !kept)) {
                breaks("version " + one.getKey() + " was acknowledged and is not in the history", one.getValue());
            }
        }
    }

    /** In the end all that run act on one version, no older than the last that was acknowledged. */
    private void settled() {
        long last = trial.stream()
                .filter(l -> l.get("event").equals("agreed"))
                .mapToLong(l -> l.number("version"))
                .max()
                .orElse(0);
        long lastUs = trial.stream()
                .filter(l -> l.get("event").equals("agreed")
                        || l.get("event").equals("unknown")
                        || l.get("event").equals("start"))
                .mapToLong(Line::us)
                .max()
                .orElse(0);
        long dueUs = Math.max(calmUs, lastUs) + promiseUs + SETTLE_US + SLACK_US;
        if (dueUs <= endUs && last > 0) {
            for (String process : histories.keySet()) {
                Act at = acts.stream()
                        .filter(a -> a.process.equals(process) && a.fromUs <= dueUs && a.untilUs >= dueUs)
                        .findFirst()
                        .orElse(null);
                boolean up = trial.stream()
                        .filter(l -> l.get("process").equals(process)
                                && (l.get("event").equals("start")
                                        || l.get("event").equals("kill")
                                        || l.get("event").equals("term")))
                        .reduce((a, b) -> b)
                        .map(l -> l.get("event").equals("start"))
                        .orElse(false);
                if (up && (at == null || at.version < last)) {
                    breaks(
                            process + " did not act on version " + last + " "
                                    + (dueUs - Math.max(calmUs, lastUs)) / 1000 + " ms after the last fault",
                            at == null ? null : at.line);
                }
            }
        }
        // How long a change took until all that ran at that time acted on it, for the report.
        for (Line line : trial) {
            if (!line.get("event").equals("agreed")) {
                continue;
            }
            long proposedUs = trial.stream()
                    .filter(l -> l.get("event").equals("proposed") && l.number("change") == line.number("change"))
                    .mapToLong(Line::us)
                    .findFirst()
                    .orElse(line.us());
            long processes = acts.stream()
                    .filter(a -> a.version == line.number("version"))
                    .map(Act::process)
                    .distinct()
                    .count();
            if (processes == histories.size()) {
                Map<String, Long> each = new HashMap<>();
                acts.stream()
                        .filter(a -> a.version == line.number("version"))
                        .forEach(a -> each.merge(a.process, a.fromUs, Math::min));
                took.add(each.values().stream().mapToLong(Long::longValue).max().orElse(0) - proposedUs);
            }
        }
    }

    /** Over each ten seconds all gateways together admitted no more than the highest limit that was acted on. */
    private void admitted() {
        TreeMap<Long, long[]> bySecond = new TreeMap<>();
        for (Line line : trial) {
            if (line.get("event").equals("load")) {
                long[] sums = bySecond.computeIfAbsent(line.number("from_us") / 1_000_000, s -> new long[2]);
                sums[0] += line.number("asked");
                sums[1] += line.number("served");
            }
        }
        for (long second : bySecond.keySet()) {
            long from = second * 1_000_000;
            long until = from + 10_000_000;
            long served = bySecond.subMap(second, second + 10).values().stream()
                    .mapToLong(s -> s[1])
                    .sum();
            long limit = acts.stream()
                    .filter(a -> a.fromUs < until + SLACK_US && a.untilUs > from - SLACK_US)
                    .mapToLong(
                            a -> a.limits.has("basic") ? a.limits.get("basic").getAsLong() : NEVER_US)
                    .max()
                    .orElse(NEVER_US);
            // Before all act on some version nothing is limited; a store of one largest request each is full at a
            // start.
            boolean all = histories.keySet().stream()
                    .allMatch(p -> acts.stream().anyMatch(a -> a.process.equals(p) && a.fromUs <= from - SLACK_US));
            if (all && limit < NEVER_US && served > limit * 11 + histories.size() * 8L) {
                breaks("from " + second + " s on " + served + " units were admitted in 10 s, and the highest limit was "
                        + limit + " a second");
            }
        }
    }
}
