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
 * The rsync front: section {@code [rsync]} of the operator's file, its modules, and its nodes, read from xDS JSON files
 * of Envoy clusters and endpoints. Each cluster is a shard: any of its endpoints holds all of its data.
 *
 * @param listenAddress where rsync clients connect, IP:PORT
 * @param idleTimeoutUs after which a connection without traffic is closed
 * @param maxTransfers the maximum number of transfers at a time
 * @param modules the rsync modules
 * @param nodes the endpoints of all clusters
 */
public record RsyncConfig(
        String listenAddress, long idleTimeoutUs, int maxTransfers, List<Module> modules, List<Node> nodes) {
    /**
     * An rsync module and the request that the decision module schedules for a transfer of it.
     *
     * @param requestClass index of the class
     * @param plan index of the plan
     * @param volume whose data is transferred
     * @param units cost of a transfer in units of work
     * @param shard number of the module's cluster
     */
    public record Module(
            String name, String comment, int requestClass, int plan, long volume, double units, int shard) {}

    /** Returns the module with this name, or null if there is none. */
    public Module module(String name) {
        return modules.stream()
                .filter(module -> module.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Reads the section; null if the file has none. Adds the xDS files to {@code files}. */
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
                readResources(reader.read(file), shards, settings, nodes);
            } catch (IOException e) {
                throw rsync.error(
                        "xds", name + " cannot be read: " + e.getClass().getSimpleName());
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(file.getFileName() + ": " + e.getMessage());
            }
        }
        List<Module> modules = new ArrayList<>();
        for (IniFile.Section module : ini.sectionsOfKind("rsync module")) {
            modules.add(readModule(module, shards, settings));
        }
        return new RsyncConfig(
                rsync.address("listen"),
                rsync.durationUs("idle", 2_000_000, 1_000, 3_600_000_000L),
                rsync.integer("most_transfers", 32, 1, 10_000),
                List.copyOf(modules),
                List.copyOf(nodes));
    }

    private static void readResources(String text, Map<String, Integer> shards, Settings settings, List<Node> nodes) {
        JsonFields file = new JsonFields("", GatewayConfig.parseObject(text));
        for (JsonFields cluster : file.list("clusters")) {
            String name = cluster.text("name");
            if (shards.putIfAbsent(name, NodeEntry.FIRST_PRIVATE_SHARD + shards.size()) != null) {
                throw cluster.error("name", "is given twice: '" + name + "'");
            }
            String type = cluster.textOrDefault("type", "STATIC");
            if (!type.equals("STATIC") && !type.equals("EDS")) {
                throw cluster.error("type", "must be STATIC or EDS, not '" + type + "'");
            }
            if (cluster.has("loadAssignment")) {
                readAssignment(cluster.object("loadAssignment"), name, shards, settings, nodes);
            }
        }
        if (file.has("endpoints")) {
            for (JsonFields assignment : file.list("endpoints")) {
                readAssignment(assignment, assignment.text("clusterName"), shards, settings, nodes);
            }
        }
    }

    private static Module readModule(IniFile.Section module, Map<String, Integer> shards, Settings settings) {
        List<String> classes = settings.classes().stream()
                .map(requestClass -> requestClass.name())
                .toList();
        List<String> plans = settings.plans().stream().map(plan -> plan.name()).toList();
        String name = module.name().substring("rsync module ".length());
        if (!name.matches("[A-Za-z0-9_.-]+")) {
            throw module.error(null, "a module's name may hold letters, digits, '_', '.' and '-' only");
        }
        if (!module.text("volume").matches("[0-9a-fA-F]{16}")) {
            throw module.error("volume", "must be 16 hex digits");
        }
        Integer shard = shards.get(module.text("cluster"));
        if (shard == null) {
            throw module.error("cluster", "names an unknown cluster: '" + module.text("cluster") + "'");
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

    private static void readAssignment(
            JsonFields assignment, String cluster, Map<String, Integer> shards, Settings settings, List<Node> nodes) {
        Integer shard = shards.get(cluster);
        if (shard == null) {
            throw assignment.error("clusterName", "names an unknown cluster: '" + cluster + "'");
        }
        for (JsonFields locality : assignment.list("endpoints")) {
            int zone = 0;
            if (locality.has("locality")) {
                zone = locality.object("locality").choiceIndex("zone", settings.zones());
            }
            for (JsonFields endpoint : locality.list("lbEndpoints")) {
                nodes.add(readNode(endpoint, cluster, shard, zone));
            }
        }
    }

    private static Node readNode(JsonFields endpoint, String cluster, int shard, int zone) {
        JsonFields socket = endpoint.object("endpoint").object("address").object("socketAddress");
        String address = socket.text("address") + ":" + (int) socket.number("portValue", 1);
        GatewayConfig.requireAddress(socket.path("address"), address);
        String health = endpoint.textOrDefault("healthStatus", "UNKNOWN");
        NodeState state = switch (health) {
            case "UNKNOWN", "HEALTHY", "DEGRADED" -> NodeState.READY;
            case "DRAINING", "UNHEALTHY", "TIMEOUT" -> NodeState.DRAINING;
            default -> throw endpoint.error("healthStatus", "is unknown: '" + health + "'");
        };
        String name = cluster + "/" + address;
        return new Node(
                name,
                address,
                new NodeEntry(
                        Node.numberOf(name),
                        zone,
                        shard,
                        state,
                        endpoint.numberOrDefault("loadBalancingWeight", 1, 0),
                        0));
    }

    /** A JSON object and its path in the file. A field may be spelled in camelCase or snake_case, as in proto JSON. */
    private record JsonFields(String ownPath, JsonObject json) {
        private JsonElement get(String key) {
            JsonElement element = json.get(key);
            return element != null
                    ? element
                    : json.get(key.replaceAll("([A-Z])", "_$1").toLowerCase(java.util.Locale.ROOT));
        }

        /** Returns the path of a field, for error messages. */
        String path(String key) {
            return ownPath.isEmpty() ? key : ownPath + "." + key;
        }

        IllegalArgumentException error(String key, String problem) {
            return new IllegalArgumentException(path(key) + " " + problem);
        }

        boolean has(String key) {
            return get(key) != null;
        }

        String text(String key) {
            JsonElement element = get(key);
            if (element == null) {
                throw error(key, "is missing");
            }
            if (!element.isJsonPrimitive()
                    || !element.getAsJsonPrimitive().isString()
                    || element.getAsString().isEmpty()) {
                throw error(key, "is not a string");
            }
            return element.getAsString();
        }

        String textOrDefault(String key, String defaultValue) {
            return has(key) ? text(key) : defaultValue;
        }

        double number(String key, double min) {
            JsonElement element = get(key);
            if (element == null) {
                throw error(key, "is missing");
            }
            try {
                double value = element.getAsDouble();
                if (value >= min && value < 1e9) {
                    return value;
                }
            } catch (RuntimeException e) {
                // Reported below.
            }
            throw error(key, "is not a number of at least " + (min < 1e-9 ? "more than 0" : min));
        }

        double numberOrDefault(String key, double defaultValue, double min) {
            return has(key) ? number(key, min) : defaultValue;
        }

        int choiceIndex(String key, List<String> choices) {
            int index = choices.indexOf(text(key));
            if (index < 0) {
                throw error(key, "must be one of " + choices + ", not '" + text(key) + "'");
            }
            return index;
        }

        JsonFields object(String key) {
            JsonElement element = get(key);
            if (element == null) {
                throw error(key, "is missing");
            }
            if (!element.isJsonObject()) {
                throw error(key, "is not an object");
            }
            return new JsonFields(path(key), element.getAsJsonObject());
        }

        List<JsonFields> list(String key) {
            JsonElement element = get(key);
            if (element == null) {
                throw error(key, "is missing");
            }
            if (!element.isJsonArray()) {
                throw error(key, "is not a list");
            }
            List<JsonFields> items = new ArrayList<>();
            for (JsonElement item : element.getAsJsonArray()) {
                String itemPath = path(key) + "[" + items.size() + "]";
                if (!item.isJsonObject()) {
                    throw new IllegalArgumentException(itemPath + " is not an object");
                }
                items.add(new JsonFields(itemPath, item.getAsJsonObject()));
            }
            return items;
        }
    }
}
