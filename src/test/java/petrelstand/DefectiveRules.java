package petrelstand;

import petrelstand.agreement.LeaseHolder;

/** Serves as a gateway with a planted defect in its leases, named by the argument, that the checks must detect. */
public final class DefectiveRules {
    private DefectiveRules() {}

    public static void main(String[] args) {
        if (!args[0].equals("never-over")) {
            throw new IllegalArgumentException("no defect " + args[0]);
        }
        // A lease never expires.
        RulesPart.setHolderFactory((nowUs, instanceNonce, config, seed, loader, actions) ->
                new LeaseHolder(nowUs, instanceNonce, config.voters(), config.leaseTiming(), seed, loader, actions) {
                    @Override
                    protected boolean isLeaseValid(long at) {
                        return super.isLeaseValid(Long.MIN_VALUE / 4) || knownVersions()[0] > 0;
                    }
                });
        Main.main(new String[] {"serve"});
    }
}
