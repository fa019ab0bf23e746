package petrelstand.members;

import petrelstand.Main;
import petrelstand.fleet.FleetService;

/** Runs a gateway with a planted defect in its membership protocol, named by the argument, which checks must detect. */
public final class DefectiveGateway {
    private DefectiveGateway() {}

    public static void main(String[] args) {
        FleetService.overrideForTesting(factory(args[0]), System::currentTimeMillis);
        Main.main(new String[] {"serve"});
    }

    /** Returns a factory of the protocol with the named defect. */
    static FleetService.MembershipFactory factory(String defect) {
        return switch (defect) {
            // Suspects never fail.
            case "never-fails" ->
                (now, fleet, self, seeds, fleetSize, timing, seed, callbacks) -> new Membership(
                        now,
                        fleet,
                        self,
                        seeds,
                        fleetSize,
                        new MembershipTiming(
                                timing.pingIntervalUs(),
                                timing.suspectAfterUs(),
                                1_000_000_000_000L,
                                timing.retryIntervalUs()),
                        seed,
                        callbacks);
            // False updates are not refuted by a higher incarnation.
            case "not-raised" ->
                (now, fleet, self, seeds, fleetSize, timing, seed, callbacks) ->
                        new Membership(now, fleet, self, seeds, fleetSize, timing, seed, callbacks) {
                            @Override
                            void raiseIncarnation(long above) {}
                        };
            // Outdated updates are accepted.
            case "stale-taken" ->
                (now, fleet, self, seeds, fleetSize, timing, seed, callbacks) ->
                        new Membership(now, fleet, self, seeds, fleetSize, timing, seed, callbacks) {
                            @Override
                            boolean supersedes(Member update, Member known) {
                                return update.state() != known.state();
                            }
                        };
            // A process does not rejoin after a long stall.
            case "not-away" ->
                (now, fleet, self, seeds, fleetSize, timing, seed, callbacks) ->
                        new Membership(now, fleet, self, seeds, fleetSize, timing, seed, callbacks) {
                            @Override
                            boolean requiresRejoin(long stoodUs) {
                                return false;
                            }
                        };
            default -> throw new IllegalArgumentException("unknown defect " + defect);
        };
    }
}
