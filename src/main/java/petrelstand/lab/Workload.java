package petrelstand.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * What clients ask, drawn from a seed and nothing else, so that the same requests come whatever the gateways do.
 * Volumes ask at their usual rate, some of them many times that in surges; the gateway that leads for a volume changes.
 */
final class Workload {
    /** A request before any gateway has seen it; {@code shard} is -1 for a new object. */
    record Ask(
            long atUs,
            int gateway,
            int kind,
            int plan,
            long volume,
            long key,
            double units,
            double workMs,
            int shard,
            int setSize) {}

    private static final double[] SHARES = {0.55, 0.85, 1};
    private static final int[][] UNITS = {{1, 2}, {2, 3}, {2, 5}};
    private static final double[] MEAN_UNITS = {1.5, 2.5, 3.5};
    private static final int MOST_UNITS = 8;
    private static final double SURGE_TIMES = 12;

    private static final class Volume {
        private final long id;
        private final int plan;
        private final double perUs;
        private final int[] shards;
        private final int[] gateways;
        private final SplittableRandom random;
        private final List<long[]> surges = new ArrayList<>();
        private long nextUs;
        private int lead;
        private long leadUntilUs;

        Volume(long id, Scenario of, SplittableRandom random, double meanUnits) {
            this.id = id;
            this.random = random;
            this.plan = random.nextDouble() < 0.56 ? 0 : 1;
            this.perUs = of.volumeUnits() * (plan == 0 ? 1 : 1.5) / meanUnits / 1e6;
            this.shards = some(random, of.nodes(), plan == 0 ? 1 : 2, plan == 0 ? 3 : 6);
            this.gateways = some(random, of.gateways(), 1, 2);
        }

        private static int[] some(SplittableRandom random, int of, int least, int most) {
            int count = Math.min(of, random.nextInt(least, most + 1));
            return random.ints(0, of).distinct().limit(count).toArray();
        }

        private double times(long atUs) {
            return surges.stream().anyMatch(s -> atUs >= s[0] && atUs < s[1]) ? SURGE_TIMES : 1;
        }

        private long after(long atUs) {
            return atUs + 1 + (long) (-Math.log(1 - random.nextDouble()) / (perUs * times(atUs)));
        }

        /** A lognormal draw of mean 1 with this coefficient of variation. */
        private double spread(double cv) {
            double variance = Math.log(1 + cv * cv);
            return Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
        }

        private Ask ask(Scenario of) {
            if (nextUs >= leadUntilUs) {
                lead = random.nextInt(gateways.length);
                leadUntilUs = nextUs + random.nextLong(6_600_000, 17_000_000);
            }
            int gateway = gateways[random.nextDouble() < 0.7 ? lead : random.nextInt(gateways.length)];
            double draw = random.nextDouble();
            int kind = draw < SHARES[0] ? 0 : draw < SHARES[1] ? 1 : 2;
            double units = random.nextInt(UNITS[kind][0], UNITS[kind][1] + 1);
            if (of.workSpread() > 0) {
                // The size that a request states is its work, in whole units and up to a bound.
                units = Math.max(1, Math.min(MOST_UNITS, Math.round(MEAN_UNITS[kind] * spread(of.workSpread()))));
            }
            double work = units * of.unitMs() * random.nextDouble(0.85, 1.15);
            int shard = kind == 1 ? -1 : shards[random.nextInt(shards.length)];
            return new Ask(nextUs, gateway, kind, plan, id, random.nextLong(), units, work, shard, gateways.length);
        }
    }

    private final Scenario scenario;
    private final PriorityQueue<Volume> volumes = new PriorityQueue<>(
            (a, b) -> a.nextUs != b.nextUs ? Long.compare(a.nextUs, b.nextUs) : Long.compare(a.id, b.id));

    /** Requests from time 0 on, with surges drawn up to a time. */
    Workload(Scenario scenario, long seed, long untilUs) {
        this.scenario = scenario;
        SplittableRandom random = new SplittableRandom(seed);
        List<Volume> all = new ArrayList<>();
        for (int i = 0; i < scenario.volumes(); i++) {
            all.add(new Volume(0xa000 + i, scenario, random.split(), 2));
        }
        // Surges: as many as, together, ask the stated share of what the nodes can do.
        double wantedUnits = scenario.surges() * scenario.nodes() * scenario.nodeUnits() * untilUs / 1e6;
        for (double asked = 0; asked < wantedUnits; ) {
            Volume volume = all.get(random.nextInt(all.size()));
            long fromUs = random.nextLong(untilUs);
            long forUs = random.nextLong(5_700_000, 15_000_000);
            volume.surges.add(new long[] {fromUs, fromUs + forUs});
            asked += volume.perUs * 2 * forUs * (SURGE_TIMES - 1);
        }
        for (Volume volume : all) {
            volume.nextUs = volume.after(0);
            volumes.add(volume);
        }
    }

    /** The next request. */
    Ask next() {
        Volume volume = volumes.poll();
        Ask ask = volume.ask(scenario);
        volume.nextUs = volume.after(volume.nextUs);
        volumes.add(volume);
        return ask;
    }
}
