package petrelstand.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import petrelstand.core.Node;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Settings;

/**
 * The operator's file that switches the rsync front on: where it listens, its modules, and its nodes as Envoy
 * clusters and endpoints in xDS JSON. A cluster is a shard of its own: any of its endpoints holds its data.
 */
public record RsyncConfig(String listen, long idleUs, int mostTransfers, List<Module> modules, List<Node> nodes) {
    private static final long FOLLOW_MS = 1000;

    /** An rsync module, and how the decision module counts its transfers. */
    public record Module(String name, String comment, int requestClass, int plan, long volume, double units,
            int shard) {}

    /** The module of a name; null where there is none. */
    public Module module(String name) {
        return modules.stream().filter(module -> module.name().equals(name)).findFirst().orElse(null);
    }

    /** Reads the file; what is wrong is one line that names the field. */
    public static RsyncConfig load(Path file, Settings settings) {
        try {
            return parse(Files.readString(file), settings);
        } catch (IOException e) {
            throw new IllegalArgumentException(file + " cannot be read: " + e.getClass().getSimpleName());
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage());
        }
    }

    /** Watches the file on a thread of its own, since reading it may block, and hands on what it says when it changes. */
    public static Thread follow(Path file, Settings settings, Consumer<RsyncConfig> changed, Consumer<String> wrong) {
        FileTime first = modified(file);
        Thread thread = new Thread(() -> {
            FileTime seen = first;
            while (!Thread.currentThread().isInterrupted()) {
                try {
                    Thread.sleep(FOLLOW_MS);
                } catch (InterruptedException e) {
                    return;
                }
                FileTime now = modified(file);
                if (!now.equals(seen)) {
                    seen = now;
                    try {
                        changed.accept(load(file, settings));
                    } catch (IllegalArgumentException e) {
                        wrong.accept(e.getMessage());
                    }
                }
            }
        }, "operator-file");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static FileTime modified(Path file) {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            return FileTime.fromMillis(0);
        }
    }

    public static RsyncConfig parse(String text, Settings settings) {
        Fields file = new Fields("", GatewayConfig.object(text));
        Map<String, Integer> shards = new LinkedHashMap<>();
        List<Node> nodes = new ArrayList<>();
        for (Fields cluster : file.list("clusters")) {
            String name = cluster.text("name");
            if (shards.putIfAbsent(name, NodeEntry.PRIVATE + shards.size()) != null) {
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
        List<Module> modules = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Fields module : file.list("modules")) {
            modules.add(module(module, shards, settings));
            if (!names.add(module.text("name"))) {
                throw module.wrong("name", "is there twice");
            }
        }
        return new RsyncConfig(file.address("listen"), (long) (file.numberOr("idleMs", 2000, 1) * 1000),
                (int) file.numberOr("mostTransfers", 32, 1), List.copyOf(modules), List.copyOf(nodes));
    }

    private static Module module(Fields module, Map<String, Integer> shards, Settings settings) {
        List<String> classes = settings.classes().stream().map(c -> c.name()).toList();
        List<String> plans = settings.plans().stream().map(p -> p.name()).toList();
        String name = module.text("name");
        if (!name.matches("[A-Za-z0-9_.-]+")) {
            throw module.wrong("name", "may hold letters, digits, '_', '.' and '-' only");
        }
        String volume = module.text("volume");
        if (!volume.matches("[0-9a-fA-F]{16}")) {
            throw module.wrong("volume", "must be 16 hex digits");
        }
        Integer shard = shards.get(module.text("cluster"));
        if (shard == null) {
            throw module.wrong("cluster", "names no cluster: '" + module.text("cluster") + "'");
        }
        return new Module(name, module.textOr("comment", ""), module.place("class", classes),
                module.place("plan", plans), Long.parseUnsignedLong(volume, 16),
                module.numberOr("units", settings.meanUnits(), Double.MIN_NORMAL), shard);
    }

    private static void assignment(Fields assignment, String cluster, Map<String, Integer> shards, Settings settings,
            List<Node> nodes) {
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
        GatewayConfig.address(socket.path("address"), address);
        String health = endpoint.textOr("healthStatus", "UNKNOWN");
        NodeState state = switch (health) {
            case "UNKNOWN", "HEALTHY", "DEGRADED" -> NodeState.READY;
            case "DRAINING", "UNHEALTHY", "TIMEOUT" -> NodeState.DRAINING;
            default -> throw endpoint.wrong("healthStatus", "is unknown: '" + health + "'");
        };
        String name = cluster + "/" + address;
        return new Node(name, address, new NodeEntry(Node.numberOf(name), zone, shard, state,
                endpoint.numberOr("loadBalancingWeight", 1, 0), 0));
    }

    /** A JSON object and where it stands; xDS fields are taken in both spellings that proto JSON allows. */
    private record Fields(String at, JsonObject json) {
        private JsonElement get(String key) {
            JsonElement element = json.get(key);
            return element != null ? element : json.get(key.replaceAll("([A-Z])", "_$1").toLowerCase(java.util.Locale.ROOT));
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
            if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isString() || element.getAsString().isEmpty()) {
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

        String address(String key) {
            return GatewayConfig.address(path(key), text(key));
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
