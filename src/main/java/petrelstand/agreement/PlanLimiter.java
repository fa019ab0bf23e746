package petrelstand.agreement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the agreed limits at a gateway's door: each plan's part of its limit, an even one among the gateways that the
 * rules name, as a store of a quarter second of it, or of one largest request. When a rule changes, what was left moves
 * over in proportion and never above the new size, so that no second is counted twice. Asked before the decision
 * module, never in its place.
 */
public final class PlanLimiter {
    /** The largest request; a store holds that much at least, or a small part could never be used. */
    private final double mostUnits;

    private final List<String> plans;
    private final LeaseHolder holder;
    private final Map<String, Store> stores = new HashMap<>();

    private static final class Store {
        double perSecond;
        double size;
        double level;
        long atUs;
    }

    /** For the plans as the settings order them. */
    public PlanLimiter(LeaseHolder holder, List<String> plans, double mostUnits) {
        this.holder = holder;
        this.plans = List.copyOf(plans);
        this.mostUnits = mostUnits;
    }

    /** Takes a request's units; 0 where they were there, else after how many µs they will be. */
    public long takeOrDelayUs(long nowUs, int plan, double units) {
        LeaseHolder.EffectiveRules acting = holder.effectiveRules(nowUs);
        String name = plans.get(plan);
        Rules.Limit limit = acting.rules().limits().get(name);
        if (limit == null) {
            stores.remove(name);
            return 0;
        }
        double perSecond = (double) limit.units() / acting.rules().gateways();
        Store store = stores.get(name);
        if (store == null) {
            store = new Store();
            store.atUs = nowUs;
            store.level = 0;
            stores.put(name, store);
            shape(store, perSecond);
            store.level = store.size;
        }
        store.level = Math.min(store.size, store.level + (nowUs - store.atUs) / 1e6 * store.perSecond);
        store.atUs = nowUs;
        if (store.perSecond != perSecond) {
            double part = store.size > 0 ? store.level / store.size : 0;
            shape(store, perSecond);
            store.level = Math.min(store.level, part * store.size);
        }
        if (store.level >= units) {
            store.level -= units;
            return 0;
        }
        return perSecond <= 0 ? 1_000_000 : Math.max(1, (long) Math.ceil((units - store.level) / perSecond * 1e6));
    }

    private void shape(Store store, double perSecond) {
        store.perSecond = perSecond;
        store.size = perSecond <= 0 ? 0 : Math.max(mostUnits, perSecond / 4);
    }
}
