package petrelstand.testing;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelstand.config.IniFile;
import petrelstand.config.OperatorConfig;
import petrelstand.decision.Scheduling.Settings;

/** The gateway's and the operator's files, as tests write them. */
public final class Configs {
    private Configs() {}

    /** A gateway's file with the shared settings as JSON, one node known at a port, discovery at another. */
    public static String gateway(int nodePort, int discoveryPort) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discoveryPort
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s-00000001\",\"addr\":\"127.0.0.1:"
                + nodePort + "\",\"zone\":\"a\",\"kind\":\"k\",\"cell\":3,\"state\":\"up\",\"weight\":1.0,"
                + "\"started_ms\":0}]},\"settings\":" + json(settingsTree()) + "}";
    }

    /** The operator's file with one module, "charts", of the cluster in xds.json. */
    public static String operator(int idleMs) {
        return """
                [rsync]
                listen = 127.0.0.1:0
                idle = %d ms
                most_transfers = 8
                xds = xds.json

                [rsync module charts]
                comment = Chart editions
                class = bulk-export
                plan = basic
                volume = 00000000000000b1
                units = 4
                cluster = chart-rsync
                """.formatted(idleMs);
    }

    /** The cluster's daemons on ports, each with a health, in xDS JSON. */
    public static String xds(Map<Integer, String> daemons) {
        StringBuilder endpoints = new StringBuilder();
        daemons.forEach((port, health) -> endpoints
                .append(endpoints.isEmpty() ? "" : ",")
                .append("{\"endpoint\":{\"address\":{\"socketAddress\":{\"address\":\"127.0.0.1\",\"portValue\":" + port
                        + "}}},\"healthStatus\":\"" + health + "\"}"));
        return "{\"clusters\":[{\"name\":\"chart-rsync\",\"type\":\"EDS\"}],"
                + "\"endpoints\":[{\"clusterName\":\"chart-rsync\",\"endpoints\":[{\"locality\":{\"zone\":\"a\"},"
                + "\"lbEndpoints\":[" + endpoints + "]}]}]}";
    }

    /** What the operator's file and the one that it names say, without a disk. */
    public static OperatorConfig load(String ini, String xds, Settings settings) {
        return OperatorConfig.load(new IniFile(Path.of("petrelstand.ini"), ini), settings, file -> xds);
    }

    private static Map<String, Object> settingsTree() {
        Map<String, Object> root = new TreeMap<>();
        for (String line : BrokerFixture.SETTINGS.split("\n")) {
            int split = line.indexOf('=');
            put(root, line.substring(0, split).split("\\."), 0, line.substring(split + 1));
        }
        return root;
    }

    @SuppressWarnings("unchecked")
    private static void put(Map<String, Object> at, String[] path, int depth, String value) {
        if (depth == path.length - 1) {
            at.put(path[depth], value);
        } else {
            put(
                    (Map<String, Object>) at.computeIfAbsent(path[depth], k -> new TreeMap<String, Object>()),
                    path,
                    depth + 1,
                    value);
        }
    }

    private static String json(Object value) {
        if (value instanceof Map<?, ?> map) {
            boolean list = map.containsKey("count");
            List<String> items = new ArrayList<>();
            map.forEach((key, item) -> {
                if (!key.equals("count")) {
                    items.add((list ? "" : "\"" + key + "\":") + json(item));
                }
            });
            return (list ? "[" : "{") + String.join(",", items) + (list ? "]" : "}");
        }
        String text = value.toString();
        if (text.contains(",")) {
            return "[\"" + text.replace(",", "\",\"") + "\"]";
        }
        return text.matches("-?[0-9.]+|true|false") ? text : "\"" + text + "\"";
    }
}
