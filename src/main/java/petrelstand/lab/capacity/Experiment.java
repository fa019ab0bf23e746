package petrelstand.lab.capacity;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import petrelstand.lab.faults.FleetSim;
import petrelstand.lab.rules.RulesSim;
import petrelstand.members.MembershipTiming;

/** Plays a plan in virtual time and measures what each event costs a member. One seed gives one course. */
public final class Experiment {
    private static final long S = Play.S;
    private static final long LOOK_US = 100_000;
    /**
     * Virtual time after all agree, before a fleet counts as at rest. News of a start of all are told on for a while: 5
     * s are enough up to 200 gateways, not at 400.
     */
    private static final long CALM_US = 60 * S;

    private static final int REST_SECONDS = 10;
    private static final int CUT_SECONDS = 20;
    /** Virtual time that all may take to agree after an event; later counts as not at all. */
    static final long MOST_SETTLING_US = 60 * S;

    private static final int RESTARTS_A_MINUTE = 60;
    private static final int CHANGES_A_MINUTE = 60;
    private static final int LOSS_PERCENT = 5;
    private static final int ZONES = 4;
    private static final int HALVES = 2;
    private static final Map<Event, List<Integer>> SWEPT = Map.of(
            Event.RESTARTS, List.of(12, 30, 60, 120, 240),
            Event.CHANGES, List.of(6, 12, 30, 60, 120),
            Event.LOSS, List.of(1, 2, 5, 10, 20));
    private static final Map<Event, Axis> AXES =
            Map.of(Event.RESTARTS, Axis.RESTARTS, Event.CHANGES, Axis.CHANGES, Event.LOSS, Axis.LOSS);
    private static final Set<Cost> SWEPT_COSTS = Set.of(Cost.MESSAGES_OUT, Cost.BYTES_OUT, Cost.CPU);

    private final CapacityPlan plan;
    private final FleetSim.Maker members;
    private final RulesSim.Maker rules;
    private final List<Sample> samples = new ArrayList<>();

    /** With the modules as the gateway has them. */
    public Experiment(CapacityPlan plan) {
        this(plan, FleetSim.usual(MembershipTiming.DEFAULT), RulesSim.USUAL);
    }

    /** With modules of the caller's, which may have planted defects. */
    public Experiment(CapacityPlan plan, FleetSim.Maker members, RulesSim.Maker rules) {
        this.plan = plan;
        this.members = members;
        this.rules = rules;
    }

    /** Plays all sizes, the smallest twice: the first course only lets the virtual machine compile. */
    public List<Sample> play() {
        course(plan.smallest());
        samples.clear();
        plan.sizes().forEach(this::course);
        if (plan.sweeps()) {
            SWEPT.keySet().stream()
                    .filter(plan.role().events()::contains)
                    .sorted()
                    .forEach(this::sweep);
        }
        return List.copyOf(samples);
    }

    private Play start(int size, Meter meter) {
        return switch (plan.role()) {
            case MEMBERS -> new MembersPlay(size, plan.seed(), members, meter);
            case RULES -> new RulesPlay(size, plan.seed(), rules, meter);
        };
    }

    private void course(int size) {
        Meter meter = new Meter(size);
        long before = plan.events().contains(Event.REST) ? usedHeap() : 0;
        Play play = start(size, meter);
        boolean agreed = settle(play, meter, Event.START, size, play.nowUs());
        if (!agreed) {
            return;
        }
        rest(play, meter, size);
        if (plan.events().contains(Event.REST)) {
            play.forget();
            double state = Math.max(0, usedHeap() - before) / (double) size;
            samples.add(new Sample(Event.REST, Group.GATEWAY, Cost.STATE, Axis.GATEWAYS, size, state));
        }
        for (Event event : plan.events()) {
            if (event != Event.START && event != Event.REST && !trouble(play, meter, event, size)) {
                return;
            }
        }
    }

    private void rest(Play play, Meter meter, int size) {
        play.run(play.nowUs() + CALM_US);
        meter.clear();
        seconds(play, meter, REST_SECONDS);
        record(play, meter, Event.REST, size, REST_SECONDS);
    }

    /** Plays an event and goes on until all agree; whether they do in time. */
    private boolean trouble(Play play, Meter meter, Event event, int size) {
        meter.clear();
        switch (event) {
            case RESTARTS -> steady(play, meter, event, RESTARTS_A_MINUTE, size);
            case CHANGES -> steady(play, meter, event, CHANGES_A_MINUTE, size);
            case LOSS -> steady(play, meter, event, LOSS_PERCENT, size);
            default -> {}
        }
        if (event == Event.ZONE || event == Event.CUT) {
            long began = play.nowUs();
            int length = event == Event.CUT ? CUT_SECONDS : REST_SECONDS;
            play.begin(event, event == Event.CUT ? HALVES : ZONES, length);
            seconds(play, meter, length);
            return settle(play, meter, event, size, began);
        }
        return settled(play, meter);
    }

    private void steady(Play play, Meter meter, Event event, int amount, int size) {
        play.begin(event, amount, REST_SECONDS);
        seconds(play, meter, REST_SECONDS);
        record(play, meter, event, size, REST_SECONDS);
    }

    /** Plays on until all agree, and records the whole event since its begin. */
    private boolean settle(Play play, Meter meter, Event event, int size, long beganUs) {
        long from = play.nowUs();
        boolean agreed = settled(play, meter);
        long took = play.nowUs() - from;
        Reading reading = record(play, meter, event, size, (play.nowUs() - beganUs) / (double) S);
        if (agreed && plan.events().contains(event)) {
            Group group = play.groups().keySet().stream()
                    .min(Comparator.naturalOrder())
                    .orElseThrow();
            samples.add(reading.sample(group, Cost.SETTLED, Math.max(took, LOOK_US) / (double) S));
        }
        return agreed;
    }

    private static boolean settled(Play play, Meter meter) {
        long until = play.nowUs() + MOST_SETTLING_US;
        long second = play.nowUs() + S;
        while (!play.settled() && play.nowUs() < until) {
            play.run(play.nowUs() + LOOK_US);
            if (play.nowUs() >= second) {
                meter.second();
                second += S;
            }
        }
        meter.second();
        return play.settled();
    }

    private static void seconds(Play play, Meter meter, int seconds) {
        for (int i = 0; i < seconds; i++) {
            play.run(play.nowUs() + S);
            meter.second();
        }
    }

    private Reading record(Play play, Meter meter, Event event, int size, double seconds) {
        Reading reading = new Reading(meter, event, Axis.GATEWAYS, size, seconds);
        if (plan.events().contains(event)) {
            play.groups().forEach((group, who) -> samples.addAll(reading.of(group, who)));
        }
        return reading;
    }

    /** What an event costs above rest, at the smallest size, over the amounts of that event. */
    private void sweep(Event event) {
        Meter meter = new Meter(plan.smallest());
        Play play = start(plan.smallest(), meter);
        settled(play, meter);
        play.run(play.nowUs() + CALM_US);
        Map<String, Double> rest = swept(play, meter, event, 0);
        for (int amount : SWEPT.get(event)) {
            play.begin(event, amount, REST_SECONDS);
            Map<String, Double> with = swept(play, meter, event, amount);
            play.groups()
                    .keySet()
                    .forEach(group -> SWEPT_COSTS.forEach(cost -> {
                        String key = key(group, cost);
                        double above = with.getOrDefault(key, 0.0) - rest.getOrDefault(key, 0.0);
                        samples.add(new Sample(event, group, cost, AXES.get(event), amount, above));
                    }));
            settled(play, meter);
            play.run(play.nowUs() + CALM_US);
        }
    }

    private static Map<String, Double> swept(Play play, Meter meter, Event event, int amount) {
        meter.clear();
        seconds(play, meter, REST_SECONDS);
        Reading reading = new Reading(meter, event, AXES.get(event), amount, REST_SECONDS);
        Map<String, Double> values = new HashMap<>();
        play.groups()
                .forEach((group, who) -> reading.of(group, who)
                        .forEach(sample -> values.put(key(sample.group(), sample.cost()), sample.value())));
        return values;
    }

    private static String key(Group group, Cost cost) {
        return group + " " + cost;
    }

    private static long usedHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
