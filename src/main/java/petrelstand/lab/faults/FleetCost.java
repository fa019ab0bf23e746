package petrelstand.lab.faults;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import petrelstand.config.IniFile;

/** What knowing each other, and agreeing on rules, costs a gateway's CPU: pairs of trials of three, on against off. */
public final class FleetCost {
    private static final String THREE = "[trial]\nprocesses = 3\nlength = 28 s\nload = ";

    private FleetCost() {}

    /** A table over pairs, each played off, on with the fleet, on with rules as well, in turning order. */
    public static String table(int pairs, int load, Path folder) throws IOException, InterruptedException {
        String[] kinds = {"fleet = off\n", "", "voters = 3\nchange = 5 s\n"};
        List<List<Double>> costs = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (int pair = 0; pair < pairs; pair++) {
            for (int i = 0; i < kinds.length; i++) {
                int kind = (i + pair) % kinds.length;
                FaultScenario scenario =
                        FaultScenario.of(new IniFile(Path.of("cost.ini"), THREE + load + "\n" + kinds[kind]));
                try (FaultTrial trial = new FaultTrial(
                        folder.resolve("cost-" + pair + "-" + kind),
                        scenario,
                        pair + 1,
                        "petrelstand.Main",
                        List.of("serve"))) {
                    trial.play();
                    costs.get(kind).add(trial.cpuUsASecond() / 1000);
                }
            }
        }
        StringBuilder text = new StringBuilder("CPU of a gateway at " + load
                + " requests a second, ms a second: off, with the fleet, with the fleet and rules\n");
        for (int pair = 0; pair < pairs; pair++) {
            text.append(String.format(
                    Locale.ROOT,
                    "%5.1f %5.1f %5.1f%n",
                    costs.get(0).get(pair),
                    costs.get(1).get(pair),
                    costs.get(2).get(pair)));
        }
        for (int kind = 1; kind < kinds.length; kind++) {
            List<Double> more = new ArrayList<>();
            for (int pair = 0; pair < pairs; pair++) {
                more.add(costs.get(kind).get(pair) - costs.get(0).get(pair));
            }
            Collections.sort(more);
            text.append(String.format(
                    Locale.ROOT,
                    "%s: %+.1f ms a second in the median pair (%.1f to %.1f)%n",
                    kind == 1 ? "fleet" : "fleet and rules",
                    more.get(more.size() / 2),
                    more.get(0),
                    more.get(more.size() - 1)));
        }
        return text.toString();
    }
}
