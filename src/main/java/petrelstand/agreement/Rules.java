package petrelstand.agreement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The rules of one version. Two sets of rules conflict if a plan has different limits, a module is open in only one of
 * them or to other credentials, a node is listed by one and removed or at another address in the other, or a switch has
 * different values.
 *
 * @param gateways the number of gateways that share each limit evenly
 * @param limits by plan
 * @param modules of the rsync front, by name
 * @param nodes that operators list, by name
 * @param switches by name; true is on
 */
public record Rules(
        int gateways,
        Map<String, Limit> limits,
        Map<String, Module> modules,
        Map<String, Node> nodes,
        Map<String, Boolean> switches) {
    /** The rules before the first version: they limit nothing. */
    public static final Rules NONE = new Rules(1, Map.of(), Map.of(), Map.of(), Map.of());

    /**
     * What all gateways together admit for a plan.
     *
     * @param units units a second
     * @param floor units a second that gateways without a lease may go on admitting together; no later version may set
     *     a lower limit until every gateway has confirmed a lower floor
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

    /** The rules that a gateway may apply without a lease: these with each limit lowered to its floor. */
    public Rules toFallback() {
        Map<String, Limit> floors = new TreeMap<>();
        limits.forEach((plan, limit) -> floors.put(plan, new Limit(limit.floor(), limit.floor())));
        return new Rules(gateways, floors, modules, nodes, switches);
    }

    /**
     * The strictest combination of both: the lower limits, and only those modules, nodes and switches of these rules
     * that the other rules allow as well.
     */
    public Rules restrictedBy(Rules other) {
        Map<String, Limit> lowerLimits = new TreeMap<>(limits);
        other.limits.forEach((plan, limit) -> lowerLimits.merge(
                plan, limit, (a, b) -> new Limit(Math.min(a.units(), b.units()), Math.min(a.floor(), b.floor()))));
        Map<String, Module> commonModules = new TreeMap<>();
        modules.forEach((name, module) -> {
            Module otherModule = other.modules.get(name);
            List<String> allowed = new ArrayList<>(module.credentials());
            allowed.retainAll(otherModule == null ? List.of() : otherModule.credentials());
            commonModules.put(name, new Module(module.open() && otherModule != null && otherModule.open(), allowed));
        });
        Map<String, Node> commonNodes = new TreeMap<>();
        nodes.forEach((name, node) -> {
            Node otherNode = other.nodes.get(name);
            boolean sameAddress = otherNode != null && otherNode.address().equals(node.address());
            commonNodes.put(name, new Node(node.address(), node.removed() || !sameAddress || otherNode.removed()));
        });
        Map<String, Boolean> commonSwitches = new TreeMap<>();
        switches.forEach((name, on) -> commonSwitches.put(name, on && other.switches.getOrDefault(name, false)));
        return new Rules(Math.max(gateways, other.gateways), lowerLimits, commonModules, commonNodes, commonSwitches);
    }

    /** The conflicts with other rules, as texts of a kind and a name such as {@code limit basic}. */
    public List<String> conflictsWith(Rules other) {
        List<String> conflicts = new ArrayList<>();
        for (String plan : unionOfKeys(limits, other.limits)) {
            Limit a = limits.get(plan);
            Limit b = other.limits.get(plan);
            if (a == null || b == null || a.units() != b.units() || gateways != other.gateways) {
                conflicts.add("limit " + plan);
            }
        }
        addDifferences("module", modules, other.modules, conflicts);
        addDifferences("node", nodes, other.nodes, conflicts);
        addDifferences("switch", switches, other.switches, conflicts);
        return conflicts;
    }

    private static <V> void addDifferences(String kind, Map<String, V> a, Map<String, V> b, List<String> conflicts) {
        for (String key : unionOfKeys(a, b)) {
            if (!a.containsKey(key) || !a.get(key).equals(b.get(key))) {
                conflicts.add(kind + " " + key);
            }
        }
    }

    private static <V> Iterable<String> unionOfKeys(Map<String, V> a, Map<String, V> b) {
        Map<String, V> union = new TreeMap<>(a);
        union.putAll(b);
        return union.keySet();
    }
}
