package petrelstand.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import petrelstand.core.Node;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;

/**
 * A node list, or changes to one, as the discovery service sends it.
 *
 * @param version of the list; -1 if there is none yet
 * @param full true if the list replaces the previous one, false if it only holds changes
 * @param nodes the nodes, or the changed ones
 */
public record NodeList(long version, boolean full, List<Node> nodes) {
    /** Returns a list without nodes. Its version is -1, since 0 is a valid version. */
    public static NodeList empty() {
        return new NodeList(-1, true, List.of());
    }

    /** Parses a list; a malformed one is an IllegalArgumentException. Zones are numbered by their place in the list. */
    public static NodeList parse(String text, List<String> zones) {
        return fromJson(GatewayConfig.parseObject(text), zones);
    }

    static NodeList fromJson(JsonObject json, List<String> zones) {
        try {
            List<Node> nodes = new ArrayList<>();
            if (json.has("servers") && json.get("servers").isJsonArray()) {
                for (JsonElement element : json.getAsJsonArray("servers")) {
                    nodes.add(node(element.getAsJsonObject(), zones));
                }
            }
            return new NodeList(
                    json.get("version").getAsLong(),
                    !json.has("full") || json.get("full").getAsBoolean(),
                    nodes);
        } catch (IllegalStateException
                | ClassCastException
                | NullPointerException
                | NumberFormatException
                | UnsupportedOperationException e) {
            throw new IllegalArgumentException("the node list is malformed: " + e.getMessage());
        }
    }

    private static Node node(JsonObject json, List<String> zones) {
        String name = json.get("id").getAsString();
        NodeState state = switch (json.get("state").getAsString()) {
            case "up" -> NodeState.READY;
            case "draining" -> NodeState.DRAINING;
            case "removed" -> NodeState.GONE;
            default ->
                throw new IllegalArgumentException("node " + name + " has an unknown state: "
                        + json.get("state").getAsString());
        };
        int zone = json.has("zone") ? Math.max(0, zones.indexOf(json.get("zone").getAsString())) : 0;
        String address = json.has("addr") ? json.get("addr").getAsString() : "";
        int shard = number(json, "cell", -1).intValue();
        if (shard >= NodeEntry.FIRST_PRIVATE_SHARD) {
            throw new IllegalArgumentException("node " + name + " has a cell that is out of range: " + shard);
        }
        if (state != NodeState.GONE) {
            GatewayConfig.requireAddress("addr of node " + name, address);
        }
        return new Node(
                name,
                address,
                new NodeEntry(
                        Node.numberOf(name),
                        zone,
                        shard,
                        state,
                        number(json, "weight", 1).doubleValue(),
                        number(json, "started_ms", 0).doubleValue()));
    }

    private static Number number(JsonObject json, String key, Number defaultValue) {
        JsonElement element = json.get(key);
        return element == null || element.isJsonNull() ? defaultValue : Double.valueOf(element.getAsDouble());
    }
}
