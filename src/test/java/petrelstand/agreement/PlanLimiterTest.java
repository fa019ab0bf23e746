package petrelstand.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.config.RulesText;

/** Guards against a plan that may spend, after a stall of the process, what its rate gave during the stall. */
class PlanLimiterTest {
    private static final long SECOND_US = 1_000_000;

    private static final LeaseHolder.Actions NO_ACTIONS = new LeaseHolder.Actions() {
        @Override
        public void send(String voter, RulesMessage message) {}

        @Override
        public void effectiveRulesChanged(long nowUs, LeaseHolder.EffectiveRules effective, String reason) {}

        @Override
        public void storeVersion(long version, String text) {}

        @Override
        public void count(String counter) {}

        @Override
        public void log(String line) {}
    };

    private static int unitsTakenAtOnce(PlanLimiter limiter, long nowUs) {
        int units = 0;
        while (limiter.takeOrDelayUs(nowUs, 0, 1) == 0) {
            units++;
        }
        return units;
    }

    @Test
    void bucketIsFullAtMostAfterAStall() {
        LeaseHolder holder = new LeaseHolder(
                0, 1, List.of("v"), LeaseTiming.DEFAULT, 1, text -> RulesText.parse("rules", text, null), NO_ACTIONS);
        holder.restore(0, 1, "[fleet]\ngateways = 2\n[limit basic]\nunits = 80\nfloor = 80\n");
        PlanLimiter limiter = new PlanLimiter(holder, List.of("basic"), 2);
        // 40 units a second are this gateway's share, and a quarter second of it is kept.
        for (long nowUs : new long[] {0, 8 * SECOND_US, 68 * SECOND_US}) {
            assertEquals(10, unitsTakenAtOnce(limiter, nowUs), "at " + nowUs);
        }
    }
}
