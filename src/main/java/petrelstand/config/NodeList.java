package petrelstand.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import petrelstand.core.Node;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;

/** A node list, or changes to one, in discovery's form. */
public record NodeList(long version, boolean full, List<Node> nodes) {
    /** No list at all; a version of 0 is one that discovery may hold. */
    public static NodeList empty() {
        return new NodeList(-1, true, List.of());
    }

    public static NodeList parse(String text, List<String> zones) {
        return of(GatewayConfig.object(text), zones);
    }

    static NodeList of(JsonObject json, List<String> zones) {
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
        int cell = number(json, "cell", -1).intValue();
        if (cell >= NodeEntry.FIRST_PRIVATE_SHARD) {
            throw new IllegalArgumentException("node " + name + " has a cell that is out of range: " + cell);
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
                        cell,
                        state,
                        number(json, "weight", 1).doubleValue(),
                        number(json, "started_ms", 0).doubleValue()));
    }

    private static Number number(JsonObject json, String key, Number otherwise) {
        JsonElement element = json.get(key);
        return element == null || element.isJsonNull() ? otherwise : Double.valueOf(element.getAsDouble());
    }
}
