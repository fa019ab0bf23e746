package petrelstand.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import petrelstand.core.Node;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Settings;

/**
 * The rsync front as the operator's file sets it up: where it listens, its modules, and its nodes as Envoy clusters and
 * endpoints in the xDS JSON files that it names. A cluster is a shard of its own: any of its endpoints holds its data.
 */
public record RsyncConfig(String listenAddress, long idleTimeoutUs, int maxTransfers, List<Module> modules, List<Node> nodes) {
    /** An rsync module, and how the decision module counts its transfers. */
    public record Module(
            String name, String comment, int requestClass, int plan, long volume, double units, int shard) {}

    /** The module of a name; null where there is none. */
    public Module module(String name) {
        return modules.stream()
                .filter(module -> module.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /**
     * The front as the operator's file sets it up, with the clusters and endpoints of the JSON files that it names;
     * null where it has no section [rsync]. The files read are added to the list.
     */
    static RsyncConfig of(IniFile ini, Settings settings, List<Path> files, OperatorConfig.TextReader reader) {
        IniFile.Section rsync = ini.section("rsync");
        if (rsync == null) {
            return null;
        }
        Map<String, Integer> shards = new LinkedHashMap<>();
        List<Node> nodes = new ArrayList<>();
        for (String name : rsync.text("xds").split("\\s+")) {
            Path file = ini.resolveSibling(name);
            files.add(file);
            try {
                resources(reader.read(file), shards, settings, nodes);
            } catch (IOException e) {
                throw rsync.error(
                        "xds", name + " cannot be read: " + e.getClass().getSimpleName());
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(file.getFileName() + ": " + e.getMessage());
            }
        }
        List<Module> modules = new ArrayList<>();
        for (IniFile.Section module : ini.sectionsOfKind("rsync module")) {
            modules.add(module(module, shards, settings));
        }
        return new RsyncConfig(
                rsync.address("listen"),
                rsync.durationUs("idle", 2_000_000, 1_000, 3_600_000_000L),
                rsync.integer("most_transfers", 32, 1, 10_000),
                List.copyOf(modules),
                List.copyOf(nodes));
    }

    private static void resources(String text, Map<String, Integer> shards, Settings settings, List<Node> nodes) {
        Fields file = new Fields("", GatewayConfig.object(text));
        for (Fields cluster : file.list("clusters")) {
            String name = cluster.text("name");
            if (shards.putIfAbsent(name, NodeEntry.FIRST_PRIVATE_SHARD + shards.size()) != null) {
                throw cluster.wrong("name", "is there twice: '" + name + "'");
            }
            String type = cluster.textOr("type", "STATIC");
            if (!type.equals("STATIC") && !type.equals("EDS")) {
                throw cluster.wrong("type", "must be STATIC or EDS, not '" + type + "'");
            }
            if (cluster.has("loadAssignment")) {
                assignment(cluster.object("loadAssignment"), name, shards, settings, nodes);
            }
        }
        if (file.has("endpoints")) {
            for (Fields assignment : file.list("endpoints")) {
                assignment(assignment, assignment.text("clusterName"), shards, settings, nodes);
            }
        }
    }

    private static Module module(IniFile.Section module, Map<String, Integer> shards, Settings settings) {
        List<String> classes = settings.classes().stream().map(c -> c.name()).toList();
        List<String> plans = settings.plans().stream().map(p -> p.name()).toList();
        String name = module.name().substring("rsync module ".length());
        if (!name.matches("[A-Za-z0-9_.-]+")) {
            throw module.error(null, "a module's name may hold letters, digits, '_', '.' and '-' only");
        }
        if (!module.text("volume").matches("[0-9a-fA-F]{16}")) {
            throw module.error("volume", "must be 16 hex digits");
        }
        Integer shard = shards.get(module.text("cluster"));
        if (shard == null) {
            throw module.error("cluster", "names no cluster: '" + module.text("cluster") + "'");
        }
        return new Module(
                name,
                module.textOrDefault("comment", ""),
                module.choiceIndex("class", classes),
                module.choiceIndex("plan", plans),
                Long.parseUnsignedLong(module.text("volume"), 16),
                module.number("units", settings.meanUnits(), 1e-3, 1e9),
                shard);
    }

    private static void assignment(
            Fields assignment, String cluster, Map<String, Integer> shards, Settings settings, List<Node> nodes) {
        Integer shard = shards.get(cluster);
        if (shard == null) {
            throw assignment.wrong("clusterName", "names no cluster: '" + cluster + "'");
        }
        for (Fields locality : assignment.list("endpoints")) {
            int zone = 0;
            if (locality.has("locality")) {
                zone = locality.object("locality").place("zone", settings.zones());
            }
            for (Fields endpoint : locality.list("lbEndpoints")) {
                nodes.add(node(endpoint, cluster, shard, zone));
            }
        }
    }

    private static Node node(Fields endpoint, String cluster, int shard, int zone) {
        Fields socket = endpoint.object("endpoint").object("address").object("socketAddress");
        String address = socket.text("address") + ":" + (int) socket.number("portValue", 1);
        GatewayConfig.requireAddress(socket.path("address"), address);
        String health = endpoint.textOr("healthStatus", "UNKNOWN");
        NodeState state = switch (health) {
            case "UNKNOWN", "HEALTHY", "DEGRADED" -> NodeState.READY;
            case "DRAINING", "UNHEALTHY", "TIMEOUT" -> NodeState.DRAINING;
            default -> throw endpoint.wrong("healthStatus", "is unknown: '" + health + "'");
        };
        String name = cluster + "/" + address;
        return new Node(
                name,
                address,
                new NodeEntry(
                        Node.numberOf(name), zone, shard, state, endpoint.numberOr("loadBalancingWeight", 1, 0), 0));
    }

    /** A JSON object and where it stands; xDS fields are taken in both spellings that proto JSON allows. */
    private record Fields(String at, JsonObject json) {
        private JsonElement get(String key) {
            JsonElement element = json.get(key);
            return element != null
                    ? element
                    : json.get(key.replaceAll("([A-Z])", "_$1").toLowerCase(java.util.Locale.ROOT));
        }

        String path(String key) {
            return at.isEmpty() ? key : at + "." + key;
        }

        IllegalArgumentException wrong(String key, String what) {
            return new IllegalArgumentException(path(key) + " " + what);
        }

        boolean has(String key) {
            return get(key) != null;
        }

        String text(String key) {
            JsonElement element = get(key);
            if (element == null) {
                throw wrong(key, "is missing");
            }
            if (!element.isJsonPrimitive()
                    || !element.getAsJsonPrimitive().isString()
                    || element.getAsString().isEmpty()) {
                throw wrong(key, "is not a text");
            }
            return element.getAsString();
        }

        String textOr(String key, String otherwise) {
            return has(key) ? text(key) : otherwise;
        }

        double number(String key, double least) {
            JsonElement element = get(key);
            if (element == null) {
                throw wrong(key, "is missing");
            }
            try {
                double value = element.getAsDouble();
                if (value >= least && value < 1e9) {
                    return value;
                }
            } catch (RuntimeException e) {
                // The message below says it.
            }
            throw wrong(key, "is not a number of at least " + (least < 1e-9 ? "more than 0" : least));
        }

        double numberOr(String key, double otherwise, double least) {
            return has(key) ? number(key, least) : otherwise;
        }

        int place(String key, List<String> names) {
            int place = names.indexOf(text(key));
            if (place < 0) {
                throw wrong(key, "is none of " + names + ": '" + text(key) + "'");
            }
            return place;
        }

        Fields object(String key) {
            JsonElement element = get(key);
            if (element == null) {
                throw wrong(key, "is missing");
            }
            if (!element.isJsonObject()) {
                throw wrong(key, "is not an object");
            }
            return new Fields(path(key), element.getAsJsonObject());
        }

        List<Fields> list(String key) {
            JsonElement element = get(key);
            if (element == null) {
                throw wrong(key, "is missing");
            }
            if (!element.isJsonArray()) {
                throw wrong(key, "is not a list");
            }
            List<Fields> list = new ArrayList<>();
            for (JsonElement item : element.getAsJsonArray()) {
                String at = path(key) + "[" + list.size() + "]";
                if (!item.isJsonObject()) {
                    throw new IllegalArgumentException(at + " is not an object");
                }
                list.add(new Fields(at, item.getAsJsonObject()));
            }
            return list;
        }
    }
}
