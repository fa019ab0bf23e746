package petrelstand.lab.capacity;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import petrelstand.lab.Probe;
import petrelstand.lab.faults.FleetPlan;
import petrelstand.lab.faults.FleetPlan.Fault;
import petrelstand.lab.faults.FleetPlan.Kind;
import petrelstand.lab.faults.FleetSim;

/** Gateways that know each other. */
final class MembersPlay implements Play {
    private static final int STRIDE = 7;

    private final int size;
    private final long seed;
    private final FleetSim fleet;
    private final Map<Group, List<Integer>> all;

    MembersPlay(int size, long seed, FleetSim.Maker maker, Probe probe) {
        this.size = size;
        this.seed = seed;
        fleet = new FleetSim(size, seed, maker, probe);
        all = Map.of(Group.GATEWAY, IntStream.range(0, size).boxed().toList());
    }

    @Override
    public long nowUs() {
        return fleet.nowUs();
    }

    @Override
    public void run(long untilUs) {
        fleet.run(untilUs);
    }

    @Override
    public boolean settled() {
        return fleet.running().size() == size && fleet.agreed();
    }

    @Override
    public Map<Group, List<Integer>> groups() {
        return all;
    }

    @Override
    public void forget() {
        fleet.forgetSeen();
    }

    @Override
    public void begin(Event event, int amount, int seconds) {
        switch (event) {
            case RESTARTS -> restarts(amount, seconds);
            case LOSS -> strike(Kind.LOSS, 0, 0, seconds * S, amount);
            case ZONE ->
                IntStream.range(size - size / amount, size).forEach(who -> strike(Kind.KILL, who, 0, seconds * S, 0));
            case CUT -> strike(Kind.CUT, size / amount, 0, seconds * S, 0);
            default -> {}
        }
    }

    private void restarts(int aMinute, int seconds) {
        int times = aMinute * seconds / 60;
        for (int i = 0; i < times; i++) {
            strike(Kind.KILL, i * STRIDE % size, i * 60 * S / aMinute, S, 0);
        }
    }

    private void strike(Kind kind, int who, long afterUs, long lengthUs, int amount) {
        Fault fault = new Fault(kind, who, nowUs() + afterUs, lengthUs, amount);
        fleet.arm(new FleetPlan(size, seed, lengthUs, List.of(fault)));
    }
}
