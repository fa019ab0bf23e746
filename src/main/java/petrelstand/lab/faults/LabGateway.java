package petrelstand.lab.faults;

import petrelstand.Main;
import petrelstand.fleet.FleetService;
import petrelstand.members.Membership;

/** The program itself, {@code serve}, on a machine whose wall clock is off by as many minutes as the argument says. */
final class LabGateway {
    private LabGateway() {}

    public static void main(String[] args) {
        long offMs = Long.parseLong(args[0]) * 60_000;
        FleetService.overrideForTesting(Membership::new, () -> System.currentTimeMillis() + offMs);
        Main.main(new String[] {"serve"});
    }
}
