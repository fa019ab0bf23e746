package petrelstand;

import petrelstand.agreement.LeaseHolder;

/** The program with a planted defect in its leases, by the name in the argument; the checks must find each. */
public final class DefectiveRules {
    private DefectiveRules() {}

    public static void main(String[] args) {
        if (!args[0].equals("never-over")) {
            throw new IllegalArgumentException("no defect " + args[0]);
        }
        // A lease once given is acted on until another comes.
        RulesPart.setHolderFactory((now, life, config, seed, loader, act) ->
                new LeaseHolder(now, life, config.voters(), config.leaseTiming(), seed, loader, act) {
                    @Override
                    protected boolean isLeaseValid(long at) {
                        return super.isLeaseValid(Long.MIN_VALUE / 4) || knownVersions()[0] > 0;
                    }
                });
        Main.main(new String[] {"serve"});
    }
}
