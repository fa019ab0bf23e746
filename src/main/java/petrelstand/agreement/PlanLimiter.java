package petrelstand.agreement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Enforces the agreed plan limits at one gateway. Each plan has a token bucket that refills at the gateway's even share
 * of the limit and holds a quarter second of it, or the largest request if that is more. When the share changes, the
 * bucket keeps its fill ratio, so that a change admits nothing twice. Consulted before the decision module.
 */
public final class PlanLimiter {
    /** Units of the largest request: the minimum bucket size, without which a small share could never admit it. */
    private final double largestRequestUnits;

    private final List<String> plans;
    private final LeaseHolder holder;
    private final Map<String, Bucket> buckets = new HashMap<>();

    private static final class Bucket {
        double unitsPerSecond;
        double capacity;
        double level;
        long updatedUs;
    }

    /**
     * Creates the limiter.
     *
     * @param plans the plans' names; a request's plan is an index into this list
     */
    public PlanLimiter(LeaseHolder holder, List<String> plans, double largestRequestUnits) {
        this.holder = holder;
        this.plans = List.copyOf(plans);
        this.largestRequestUnits = largestRequestUnits;
    }

    /** Takes a request's units and returns 0, or takes nothing and returns the µs until they are available. */
    public long takeOrDelayUs(long nowUs, int plan, double units) {
        LeaseHolder.EffectiveRules effective = holder.effectiveRules(nowUs);
        String name = plans.get(plan);
        Rules.Limit limit = effective.rules().limits().get(name);
        if (limit == null) {
            buckets.remove(name);
            return 0;
        }
        double unitsPerSecond = (double) limit.units() / effective.rules().gateways();
        Bucket bucket = buckets.get(name);
        if (bucket == null) {
            bucket = new Bucket();
            bucket.updatedUs = nowUs;
            bucket.level = 0;
            buckets.put(name, bucket);
            resize(bucket, unitsPerSecond);
            bucket.level = bucket.capacity;
        }
        bucket.level =
                Math.min(bucket.capacity, bucket.level + (nowUs - bucket.updatedUs) / 1e6 * bucket.unitsPerSecond);
        bucket.updatedUs = nowUs;
        if (bucket.unitsPerSecond != unitsPerSecond) {
            double fillRatio = bucket.capacity > 0 ? bucket.level / bucket.capacity : 0;
            resize(bucket, unitsPerSecond);
            bucket.level = Math.min(bucket.level, fillRatio * bucket.capacity);
        }
        if (bucket.level >= units) {
            bucket.level -= units;
            return 0;
        }
        return unitsPerSecond <= 0
                ? 1_000_000
                : Math.max(1, (long) Math.ceil((units - bucket.level) / unitsPerSecond * 1e6));
    }

    private void resize(Bucket bucket, double unitsPerSecond) {
        bucket.unitsPerSecond = unitsPerSecond;
        bucket.capacity = unitsPerSecond <= 0 ? 0 : Math.max(largestRequestUnits, unitsPerSecond / 4);
    }
}
