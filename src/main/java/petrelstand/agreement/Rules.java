package petrelstand.agreement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A set of rules, as every gateway that acts on one version has it. Two sets contradict each other where a plan has
 * different limits, a module is open in one and not in the other (or to other credentials), a node is listed by one and
 * removed or elsewhere by the other, or a switch stands differently.
 *
 * @param gateways among how many each limit is divided evenly
 * @param limits by plan
 * @param modules of the rsync front, by name
 * @param nodes that operators list, by name
 * @param switches what is switched on, by name
 */
public record Rules(
        int gateways,
        Map<String, Limit> limits,
        Map<String, Module> modules,
        Map<String, Node> nodes,
        Map<String, Boolean> switches) {
    /** No version: nothing is ruled. */
    public static final Rules NONE = new Rules(1, Map.of(), Map.of(), Map.of(), Map.of());

    /**
     * What all gateways together admit for a plan.
     *
     * @param units a second
     * @param floor units a second that gateways which are cut off may go on admitting together; no later version may be
     *     below it until every gateway has confirmed a lower one
     */
    public record Limit(long units, long floor) {}

    /** Whether a module is open, and the names of the credentials that may use it. */
    public record Module(boolean open, List<String> credentials) {
        public Module {
            credentials = List.copyOf(credentials);
        }
    }

    /** A node of an operator's list. */
    public record Node(String address, boolean removed) {}

    public Rules {
        limits = sorted(limits);
        modules = sorted(modules);
        nodes = sorted(nodes);
        switches = sorted(switches);
    }

    private static <V> Map<String, V> sorted(Map<String, V> map) {
        return Collections.unmodifiableMap(new TreeMap<>(map));
    }

    /**
     * What may be acted on without a lease: each limit is its floor, what is open stays open and nothing opens, no node
     * is dropped.
     */
    public Rules toFallback() {
        Map<String, Limit> floors = new TreeMap<>();
        limits.forEach((plan, limit) -> floors.put(plan, new Limit(limit.floor(), limit.floor())));
        return new Rules(gateways, floors, modules, nodes, switches);
    }

    /** The stricter of two in each place: the lower limit, open only where both are, nodes that both list. */
    public Rules restrictedBy(Rules other) {
        Map<String, Limit> less = new TreeMap<>(limits);
        other.limits.forEach((plan, limit) -> less.merge(
                plan, limit, (a, b) -> new Limit(Math.min(a.units(), b.units()), Math.min(a.floor(), b.floor()))));
        Map<String, Module> both = new TreeMap<>();
        modules.forEach((name, module) -> {
            Module there = other.modules.get(name);
            List<String> allowed = new ArrayList<>(module.credentials());
            allowed.retainAll(there == null ? List.of() : there.credentials());
            both.put(name, new Module(module.open() && there != null && there.open(), allowed));
        });
        Map<String, Node> listed = new TreeMap<>();
        nodes.forEach((name, node) -> {
            Node there = other.nodes.get(name);
            boolean same = there != null && there.address().equals(node.address());
            listed.put(name, new Node(node.address(), node.removed() || !same || there.removed()));
        });
        Map<String, Boolean> on = new TreeMap<>();
        switches.forEach((name, set) -> on.put(name, set && other.switches.getOrDefault(name, false)));
        return new Rules(Math.max(gateways, other.gateways), less, both, listed, on);
    }

    /** Where two sets contradict each other, a line each. */
    public List<String> conflictsWith(Rules other) {
        List<String> found = new ArrayList<>();
        for (String plan : keys(limits, other.limits)) {
            Limit a = limits.get(plan);
            Limit b = other.limits.get(plan);
            if (a == null || b == null || a.units() != b.units() || gateways != other.gateways) {
                found.add("limit " + plan);
            }
        }
        differ("module", modules, other.modules, found);
        differ("node", nodes, other.nodes, found);
        differ("switch", switches, other.switches, found);
        return found;
    }

    private static <V> void differ(String kind, Map<String, V> a, Map<String, V> b, List<String> found) {
        for (String key : keys(a, b)) {
            if (!a.containsKey(key) || !a.get(key).equals(b.get(key))) {
                found.add(kind + " " + key);
            }
        }
    }

    private static <V> Iterable<String> keys(Map<String, V> a, Map<String, V> b) {
        Map<String, V> all = new TreeMap<>(a);
        all.putAll(b);
        return all.keySet();
    }
}
