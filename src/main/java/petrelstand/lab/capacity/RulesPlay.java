package petrelstand.lab.capacity;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import petrelstand.agreement.LeaseTiming;
import petrelstand.lab.Probe;
import petrelstand.lab.faults.FleetPlan;
import petrelstand.lab.faults.FleetPlan.Fault;
import petrelstand.lab.faults.FleetPlan.Kind;
import petrelstand.lab.rules.RulesSim;

/** Gateways that act on agreed rules; the first few vote. A first version is proposed as they start. */
final class RulesPlay implements Play {
    static final int VOTERS = 5;
    private static final int STRIDE = 7;

    private final int size;
    private final long seed;
    private final RulesSim sim;

    RulesPlay(int size, long seed, RulesSim.Maker maker, Probe probe) {
        this.size = size;
        this.seed = seed;
        sim = new RulesSim(size, VOTERS, VOTERS, LeaseTiming.DEFAULT, seed, maker, probe);
        sim.proposeAt(S);
    }

    @Override
    public long nowUs() {
        return sim.nowUs();
    }

    @Override
    public void run(long untilUs) {
        sim.run(untilUs);
        if (!sim.fault().isEmpty()) {
            throw new IllegalStateException("a promise was broken: " + sim.fault());
        }
    }

    @Override
    public boolean settled() {
        return sim.newest() > 0 && sim.settled() && sim.leasedOn(sim.newest()) == size;
    }

    @Override
    public Map<Group, List<Integer>> groups() {
        Map<Group, List<Integer>> groups = new EnumMap<>(Group.class);
        int leader = sim.leaderNow();
        groups.put(Group.HOLDER, IntStream.range(VOTERS, size).boxed().toList());
        groups.put(
                Group.VOTER,
                IntStream.range(0, VOTERS).filter(i -> i != leader).boxed().toList());
        if (leader >= 0) {
            groups.put(Group.LEADER, List.of(leader));
        }
        return groups;
    }

    @Override
    public void begin(Event event, int amount, int seconds) {
        switch (event) {
            case RESTARTS -> restarts(amount, seconds);
            case LOSS -> strike(Kind.LOSS, 0, 0, seconds * S, amount);
            case ZONE ->
                IntStream.range(size - size / amount, size).forEach(who -> strike(Kind.KILL, who, 0, seconds * S, 0));
            case CHANGES ->
                sim.proposeAt(LongStream.range(0, (long) amount * seconds / 60)
                        .map(i -> nowUs() + 1 + i * 60 * S / amount)
                        .toArray());
            default -> {}
        }
    }

    private void restarts(int aMinute, int seconds) {
        int times = aMinute * seconds / 60;
        for (int i = 0; i < times; i++) {
            strike(Kind.KILL, VOTERS + i * STRIDE % (size - VOTERS), i * 60 * S / aMinute, S, 0);
        }
    }

    private void strike(Kind kind, int who, long afterUs, long lengthUs, int amount) {
        Fault fault = new Fault(kind, who, nowUs() + afterUs, lengthUs, amount);
        sim.arm(new FleetPlan(size, seed, lengthUs, List.of(fault)));
    }
}
