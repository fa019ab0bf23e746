package petrelstand.members;

import petrelstand.Main;
import petrelstand.fleet.FleetService;

/** The program with a planted defect in its membership, by the name in the argument; the checks must find each. */
public final class DefectiveGateway {
    private DefectiveGateway() {}

    public static void main(String[] args) {
        FleetService.overrideForTesting(maker(args[0]), System::currentTimeMillis);
        Main.main(new String[] {"serve"});
    }

    /** The module with a defect. */
    static FleetService.MembershipFactory maker(String defect) {
        return switch (defect) {
            // A suspect's time is never over.
            case "never-fails" ->
                (now, fleet, self, seeds, size, timing, seed, act) -> new Membership(
                        now,
                        fleet,
                        self,
                        seeds,
                        size,
                        new MembershipTiming(
                                timing.pingIntervalUs(),
                                timing.suspectAfterUs(),
                                1_000_000_000_000L,
                                timing.retryIntervalUs()),
                        seed,
                        act);
            // A false claim is not answered with a higher incarnation.
            case "not-raised" ->
                (now, fleet, self, seeds, size, timing, seed, act) ->
                        new Membership(now, fleet, self, seeds, size, timing, seed, act) {
                            @Override
                            void raise(long above) {}
                        };
            // A claim is taken however old it is.
            case "stale-taken" ->
                (now, fleet, self, seeds, size, timing, seed, act) ->
                        new Membership(now, fleet, self, seeds, size, timing, seed, act) {
                            @Override
                            boolean supersedes(Member claim, Member known) {
                                return claim.state() != known.state();
                            }
                        };
            // Who stood still goes on as if it had not.
            case "not-away" ->
                (now, fleet, self, seeds, size, timing, seed, act) ->
                        new Membership(now, fleet, self, seeds, size, timing, seed, act) {
                            @Override
                            boolean wasAway(long stoodUs) {
                                return false;
                            }
                        };
            default -> throw new IllegalArgumentException("no defect " + defect);
        };
    }
}
