package petrelstand.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.retuning.SettingsTransition;

/**
 * What a gateway is told at its start: its addresses, its limits, its last node list and the settings. The operators'
 * address is null where none is given. {@code file} is the text as it was read; nobody changes it.
 */
public record GatewayConfig(
        String name,
        String listenAddress,
        String discoveryAddress,
        String operatorAddress,
        long seed,
        int socketLimit,
        Settings settings,
        NodeList cachedNodes,
        JsonObject json) {
    /** What a later file may leave out: it tells of the moment, or the environment tells it. */
    private static final Set<String> SPARED = Set.of("known", "seed", "operator");

    /** Reads the file that the environment names; whatever is wrong is one IllegalArgumentException. */
    public static GatewayConfig load(Map<String, String> env) {
        String file = env.get("RELAY_CONFIG");
        if (file == null || file.isBlank()) {
            throw new IllegalArgumentException("RELAY_CONFIG is not set");
        }
        return load(file, env, json -> {});
    }

    /**
     * Reads the file anew. It must have every key that the one in use has, so that one which was cut or edited in haste
     * is turned down whole; what is wrong is one IllegalArgumentException that names file and field.
     */
    public static GatewayConfig reload(Map<String, String> env, GatewayConfig inUse) {
        return load(env.get("RELAY_CONFIG"), env, json -> {
            String missing = missing("", inUse.json, json);
            if (missing != null) {
                throw new IllegalArgumentException(missing + " is missing");
            }
        });
    }

    private static GatewayConfig load(String file, Map<String, String> env, Consumer<JsonObject> check) {
        try {
            JsonObject json = object(Files.readString(Path.of(file)));
            check.accept(json);
            return of(json, env);
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    file + " cannot be read: " + e.getClass().getSimpleName());
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage());
        }
    }

    /** The first key that a former object has, at any depth, and a changed one lacks; null where none is lacking. */
    private static String missing(String path, JsonObject former, JsonObject changed) {
        for (String key : former.keySet()) {
            String at = path.isEmpty() ? key : path + "." + key;
            if (SPARED.contains(at)) {
                continue;
            }
            JsonElement was = former.get(key);
            JsonElement is = changed.get(key);
            if (is == null || is.isJsonNull() && !was.isJsonNull()) {
                return at;
            }
            String below = was.isJsonObject() && is.isJsonObject()
                    ? missing(at, was.getAsJsonObject(), is.getAsJsonObject())
                    : was.isJsonArray() && is.isJsonArray()
                            ? missing(at, was.getAsJsonArray(), is.getAsJsonArray())
                            : null;
            if (below != null) {
                return below;
            }
        }
        return null;
    }

    /** Items come and go; each must have the keys that all of the former ones had. */
    private static String missing(String path, JsonArray former, JsonArray changed) {
        Set<String> shared = null;
        for (JsonElement item : former) {
            Set<String> keys = item.isJsonObject() ? item.getAsJsonObject().keySet() : Set.of();
            shared = shared == null ? new HashSet<>(keys) : shared;
            shared.retainAll(keys);
        }
        for (int i = 0; shared != null && i < changed.size(); i++) {
            JsonObject item = changed.get(i).isJsonObject() ? changed.get(i).getAsJsonObject() : new JsonObject();
            for (String key : shared) {
                if (!item.has(key)) {
                    return path + "." + i + "." + key;
                }
            }
        }
        return null;
    }

    public static GatewayConfig parse(String text, Map<String, String> env) {
        return of(object(text), env);
    }

    private static GatewayConfig of(JsonObject json, Map<String, String> env) {
        JsonObject limits = json.has("limits") && json.get("limits").isJsonObject()
                ? json.getAsJsonObject("limits")
                : new JsonObject();
        if (!json.has("settings") || !json.get("settings").isJsonObject()) {
            throw new IllegalArgumentException("settings is missing");
        }
        Map<String, String> values = new HashMap<>();
        flatten("", json.get("settings"), values);
        numbers(json.getAsJsonObject("settings"));
        Settings settings;
        try {
            settings = SettingsReader.fromValues(values);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings: " + e.getMessage());
        }
        whole(limits, "memory_mb", 0);
        NodeList known = json.has("known") && json.get("known").isJsonObject()
                ? NodeList.of(json.getAsJsonObject("known"), settings.zones())
                : NodeList.empty();
        return new GatewayConfig(
                word(json, "name", env.get("RELAY_NAME")),
                requireAddress("listen", word(json, "listen", env.get("RELAY_LISTEN"))),
                requireAddress("discovery", word(json, "discovery", env.get("RELAY_DISCOVERY"))),
                operatorAddress(json, env),
                seed(word(json, "seed", "0")),
                whole(limits, "sockets", 1024),
                settings,
                known,
                json);
    }

    /**
     * The environment goes first here, other than for the rest: a second process of one gateway has an address of its
     * own, and may find the file as the first one was given it.
     */
    private static String operatorAddress(JsonObject json, Map<String, String> env) {
        String told = env.get("RELAY_OPERATOR");
        String text = told != null && !told.isBlank() ? told : word(json, "operator", "");
        return text.isEmpty() ? null : requireAddress("operator", text);
    }

    /** The memory that the file grants, bytes; 0 where it says nothing. */
    public long memoryBytes() {
        return json.has("limits") && json.get("limits").isJsonObject()
                ? whole(json.getAsJsonObject("limits"), "memory_mb", 0) * 1024L * 1024
                : 0;
    }

    /** What differs in another file that a running gateway cannot take, by the names the file has for it. */
    public List<String> restartOnlyChanges(GatewayConfig other) {
        List<String> names = new ArrayList<>();
        if (!name.equals(other.name)) {
            names.add("name");
        }
        if (!listenAddress.equals(other.listenAddress)) {
            names.add("listen");
        }
        if (socketLimit != other.socketLimit) {
            names.add("limits");
        }
        names.addAll(SettingsTransition.restartOnlyChanges(settings, other.settings));
        return names;
    }

    /** A number in quotes is none: whoever wrote it may have meant something else. */
    private static void numbers(JsonObject settings) {
        if (settings.get("caps") instanceof JsonObject caps) {
            number("caps.most_tries", caps.get("most_tries"));
        }
        if (settings.get("classes") instanceof JsonArray classes) {
            for (int i = 0; i < classes.size(); i++) {
                if (classes.get(i) instanceof JsonObject kind) {
                    number("classes." + i + ".hard_limit_ms", kind.get("hard_limit_ms"));
                    number("classes." + i + ".aim_ms", kind.get("aim_ms"));
                }
            }
        }
    }

    private static void number(String path, JsonElement value) {
        if (value != null
                && !(value instanceof JsonPrimitive number && number.isNumber() && number.getAsDouble() > 0)) {
            throw new IllegalArgumentException("settings: " + path + " is no number above 0: " + value);
        }
    }

    static JsonObject object(String text) {
        try {
            JsonElement element = JsonParser.parseString(text);
            if (!element.isJsonObject()) {
                throw new IllegalArgumentException("the text is not a JSON object");
            }
            return element.getAsJsonObject();
        } catch (JsonParseException e) {
            if (e.getCause() instanceof OutOfMemoryError error) {
                throw error;
            }
            String[] lines = String.valueOf(e.getMessage()).split("\n");
            throw new IllegalArgumentException("the text is not JSON: " + lines[0]);
        }
    }

    private static String word(JsonObject json, String key, String otherwise) {
        JsonElement element = json.get(key);
        if (element == null || element.isJsonNull()) {
            if (otherwise == null) {
                throw new IllegalArgumentException(key + " is missing");
            }
            return otherwise;
        }
        if (!element.isJsonPrimitive()) {
            throw new IllegalArgumentException(key + " is not a text");
        }
        return element.getAsString();
    }

    private static int whole(JsonObject json, String key, int otherwise) {
        try {
            return json.has(key) ? (int) Double.parseDouble(word(json, key, null)) : otherwise;
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(key + " is not a number");
        }
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }

    /** A host and port; the host is an IP address, since there is no name service. */
    static String requireAddress(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0
                    && port >= 0
                    && port <= 0xffff
                    && text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                return text;
            }
        } catch (NumberFormatException e) {
            // The message below says it.
        }
        throw new IllegalArgumentException(key + " is not an address with a port: '" + text + "'");
    }

    /** Nested JSON as the simulator's text writes it: lists of objects by number, plain lists joined by commas. */
    static void flatten(String path, JsonElement element, Map<String, String> values) {
        if (element.isJsonObject()) {
            String at = path.isEmpty() ? "" : path + ".";
            element.getAsJsonObject().entrySet().forEach(e -> flatten(at + e.getKey(), e.getValue(), values));
        } else if (element.isJsonArray()) {
            flattenList(path, element.getAsJsonArray(), values);
        } else if (element.isJsonPrimitive()) {
            values.put(path, element.getAsString());
        }
    }

    private static void flattenList(String path, JsonArray list, Map<String, String> values) {
        List<String> plain = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            if (list.get(i).isJsonPrimitive()) {
                plain.add(list.get(i).getAsString().replaceAll("[ ,]", "_"));
            } else {
                flatten(path + "." + i, list.get(i), values);
            }
        }
        values.put(path + ".count", Integer.toString(list.size()));
        if (plain.size() == list.size()) {
            values.put(path, String.join(",", plain));
        }
    }
}
