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
 * The gateway's configuration file, JSON.
 *
 * @param name this gateway's name
 * @param listenAddress where clients connect, IP:PORT
 * @param discoveryAddress of the discovery service, IP:PORT
 * @param operatorAddress where operators connect, IP:PORT, or null if none is given
 * @param seed of the random numbers
 * @param socketLimit the maximum number of open sockets
 * @param settings of the decision module
 * @param cachedNodes the last node list that the platform knew, used until discovery answers
 * @param json the file as it was read; must not be modified
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
    /** Keys that a reloaded file may lack: they change from start to start, or the environment gives them. */
    private static final Set<String> OPTIONAL_ON_RELOAD = Set.of("known", "seed", "operator");

    /**
     * Reads the file that RELAY_CONFIG names.
     *
     * @throws IllegalArgumentException naming the file and the field that is missing or malformed
     */
    public static GatewayConfig load(Map<String, String> env) {
        String file = env.get("RELAY_CONFIG");
        if (file == null || file.isBlank()) {
            throw new IllegalArgumentException("RELAY_CONFIG is not set");
        }
        return load(file, env, json -> {});
    }

    /**
     * Reads the file again. The new file must have every key that the current one has, so that a truncated or
     * half-edited file is rejected as a whole.
     *
     * @throws IllegalArgumentException naming the file and the field that is missing or malformed
     */
    public static GatewayConfig reload(Map<String, String> env, GatewayConfig current) {
        return load(env.get("RELAY_CONFIG"), env, json -> {
            String missing = firstMissingKey("", current.json, json);
            if (missing != null) {
                throw new IllegalArgumentException(missing + " is missing");
            }
        });
    }

    private static GatewayConfig load(String file, Map<String, String> env, Consumer<JsonObject> check) {
        try {
            JsonObject json = parseObject(Files.readString(Path.of(file)));
            check.accept(json);
            return fromJson(json, env);
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    file + " cannot be read: " + e.getClass().getSimpleName());
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage());
        }
    }

    /** Returns the path of the first key, at any depth, that only the previous object has; null if there is none. */
    private static String firstMissingKey(String path, JsonObject previous, JsonObject changed) {
        for (String key : previous.keySet()) {
            String keyPath = path.isEmpty() ? key : path + "." + key;
            if (OPTIONAL_ON_RELOAD.contains(keyPath)) {
                continue;
            }
            JsonElement before = previous.get(key);
            JsonElement after = changed.get(key);
            if (after == null || after.isJsonNull() && !before.isJsonNull()) {
                return keyPath;
            }
            String nested = before.isJsonObject() && after.isJsonObject()
                    ? firstMissingKey(keyPath, before.getAsJsonObject(), after.getAsJsonObject())
                    : before.isJsonArray() && after.isJsonArray()
                            ? firstMissingKey(keyPath, before.getAsJsonArray(), after.getAsJsonArray())
                            : null;
            if (nested != null) {
                return nested;
            }
        }
        return null;
    }

    /** Items may come and go, but each must have the keys that all of the previous items had. */
    private static String firstMissingKey(String path, JsonArray previous, JsonArray changed) {
        Set<String> commonKeys = null;
        for (JsonElement item : previous) {
            Set<String> keys = item.isJsonObject() ? item.getAsJsonObject().keySet() : Set.of();
            commonKeys = commonKeys == null ? new HashSet<>(keys) : commonKeys;
            commonKeys.retainAll(keys);
        }
        for (int i = 0; commonKeys != null && i < changed.size(); i++) {
            JsonObject item = changed.get(i).isJsonObject() ? changed.get(i).getAsJsonObject() : new JsonObject();
            for (String key : commonKeys) {
                if (!item.has(key)) {
                    return path + "." + i + "." + key;
                }
            }
        }
        return null;
    }

    /** Parses the file's text; the environment supplies the addresses and the name that the text leaves out. */
    public static GatewayConfig parse(String text, Map<String, String> env) {
        return fromJson(parseObject(text), env);
    }

    private static GatewayConfig fromJson(JsonObject json, Map<String, String> env) {
        JsonObject limits = json.has("limits") && json.get("limits").isJsonObject()
                ? json.getAsJsonObject("limits")
                : new JsonObject();
        if (!json.has("settings") || !json.get("settings").isJsonObject()) {
            throw new IllegalArgumentException("settings is missing");
        }
        Map<String, String> values = new HashMap<>();
        flatten("", json.get("settings"), values);
        requirePositiveNumbers(json.getAsJsonObject("settings"));
        Settings settings;
        try {
            settings = SettingsReader.fromValues(values);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings: " + e.getMessage());
        }
        integer(limits, "memory_mb", 0);
        NodeList cachedNodes = json.has("known") && json.get("known").isJsonObject()
                ? NodeList.fromJson(json.getAsJsonObject("known"), settings.zones())
                : NodeList.empty();
        return new GatewayConfig(
                string(json, "name", env.get("RELAY_NAME")),
                requireAddress("listen", string(json, "listen", env.get("RELAY_LISTEN"))),
                requireAddress("discovery", string(json, "discovery", env.get("RELAY_DISCOVERY"))),
                operatorAddress(json, env),
                seed(string(json, "seed", "0")),
                integer(limits, "sockets", 1024),
                settings,
                cachedNodes,
                json);
    }

    /**
     * Reads the operators' address. Here the environment overrides the file: a second process of the same gateway needs
     * an address of its own, but may read the same file as the first.
     */
    private static String operatorAddress(JsonObject json, Map<String, String> env) {
        String override = env.get("RELAY_OPERATOR");
        String text = override != null && !override.isBlank() ? override : string(json, "operator", "");
        return text.isEmpty() ? null : requireAddress("operator", text);
    }

    /** Returns the memory limit of the file, in bytes; 0 if the file has none. */
    public long memoryBytes() {
        return json.has("limits") && json.get("limits").isJsonObject()
                ? integer(json.getAsJsonObject("limits"), "memory_mb", 0) * 1024L * 1024
                : 0;
    }

    /** Returns the keys of the differences to another configuration that take effect only at a restart. */
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

    /** Checks that the bounds of retries and deadlines are positive JSON numbers; a quoted number is rejected. */
    private static void requirePositiveNumbers(JsonObject settings) {
        if (settings.get("caps") instanceof JsonObject caps) {
            requirePositiveNumber("caps.most_tries", caps.get("most_tries"));
        }
        if (settings.get("classes") instanceof JsonArray classes) {
            for (int i = 0; i < classes.size(); i++) {
                if (classes.get(i) instanceof JsonObject requestClass) {
                    requirePositiveNumber("classes." + i + ".hard_limit_ms", requestClass.get("hard_limit_ms"));
                    requirePositiveNumber("classes." + i + ".aim_ms", requestClass.get("aim_ms"));
                }
            }
        }
    }

    private static void requirePositiveNumber(String path, JsonElement value) {
        if (value != null
                && !(value instanceof JsonPrimitive number && number.isNumber() && number.getAsDouble() > 0)) {
            throw new IllegalArgumentException("settings: " + path + " is no number above 0: " + value);
        }
    }

    /** Parses a JSON object; an error is an IllegalArgumentException of one line. */
    static JsonObject parseObject(String text) {
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

    private static String string(JsonObject json, String key, String defaultValue) {
        JsonElement element = json.get(key);
        if (element == null || element.isJsonNull()) {
            if (defaultValue == null) {
                throw new IllegalArgumentException(key + " is missing");
            }
            return defaultValue;
        }
        if (!element.isJsonPrimitive()) {
            throw new IllegalArgumentException(key + " is not a string");
        }
        return element.getAsString();
    }

    private static int integer(JsonObject json, String key, int defaultValue) {
        try {
            return json.has(key) ? (int) Double.parseDouble(string(json, key, null)) : defaultValue;
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

    /** Returns the text if it is IP:PORT, else throws; host names are rejected, since there is no name service. */
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
            // Reported below.
        }
        throw new IllegalArgumentException(key + " is not an address with a port: '" + text + "'");
    }

    /**
     * Flattens nested JSON to the paths of the simulator's settings: objects in lists are numbered, lists of plain
     * values are joined by commas.
     */
    static void flatten(String path, JsonElement element, Map<String, String> values) {
        if (element.isJsonObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            element.getAsJsonObject().entrySet().forEach(e -> flatten(prefix + e.getKey(), e.getValue(), values));
        } else if (element.isJsonArray()) {
            flattenList(path, element.getAsJsonArray(), values);
        } else if (element.isJsonPrimitive()) {
            values.put(path, element.getAsString());
        }
    }

    private static void flattenList(String path, JsonArray list, Map<String, String> values) {
        List<String> plainValues = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            if (list.get(i).isJsonPrimitive()) {
                plainValues.add(list.get(i).getAsString().replaceAll("[ ,]", "_"));
            } else {
                flatten(path + "." + i, list.get(i), values);
            }
        }
        values.put(path + ".count", Integer.toString(list.size()));
        if (plainValues.size() == list.size()) {
            values.put(path, String.join(",", plainValues));
        }
    }
}
