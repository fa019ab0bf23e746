package petrelstand.cli;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonSyntaxException;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code petrelstand fleet}: what running gateways say of each other. */
@Command(
        name = "fleet",
        description = "What running gateways know of each other.",
        subcommands = FleetCommand.Members.class,
        mixinStandardHelpOptions = true)
final class FleetCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    /** Prints views, and where they differ. */
    @Command(
            name = "members",
            description = "Prints the view of a running gateway; of several, also where their views"
                    + " differ. Ends with 0 where all agree, 1 where a gateway does not answer, 3 where views differ.",
            mixinStandardHelpOptions = true)
    static final class Members implements Callable<Integer> {
        private static final Duration PATIENCE = Duration.ofSeconds(3);

        @Option(
                names = "--at",
                paramLabel = "ADDRESS",
                defaultValue = "127.0.0.1:9000",
                split = ",",
                description = "where a gateway listens for clients; several, with commas; 127.0.0.1:9000")
        private List<String> at;

        @Option(names = "--json", description = "as JSON")
        private boolean json;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws InterruptedException {
            PrintWriter out = spec.commandLine().getOut();
            Map<String, JsonObject> views = new TreeMap<>();
            boolean silent = false;
            HttpClient client = HttpClient.newBuilder().connectTimeout(PATIENCE).build();
            for (String address : at) {
                try {
                    views.put(address, ask(client, address));
                } catch (IOException | IllegalArgumentException | JsonSyntaxException e) {
                    silent = true;
                    spec.commandLine()
                            .getErr()
                            .println(address + ": no view: "
                                    + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage()));
                }
            }
            List<String> differences = differences(views);
            if (json) {
                JsonObject all = new JsonObject();
                views.forEach(all::add);
                JsonArray differ = new JsonArray();
                differences.forEach(differ::add);
                JsonObject answer = new JsonObject();
                answer.add("views", all);
                answer.add("differences", differ);
                out.println(new GsonBuilder().setPrettyPrinting().create().toJson(answer));
            } else {
                views.forEach((address, view) -> print(out, address, view));
                differences.forEach(out::println);
                if (views.size() > 1 && differences.isEmpty()) {
                    out.println("all views agree");
                }
            }
            out.flush();
            return silent ? 1 : differences.isEmpty() ? 0 : 3;
        }

        private static JsonObject ask(HttpClient client, String address) throws IOException, InterruptedException {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/members"))
                    .timeout(PATIENCE)
                    .build();
            HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() != 200) {
                throw new IOException(
                        "it answers " + answer.statusCode() + " (is [fleet] in its operator's file, with page = on?)");
            }
            return JsonParser.parseString(answer.body()).getAsJsonObject();
        }

        private static void print(PrintWriter out, String address, JsonObject view) {
            JsonObject standing = view.getAsJsonObject("standing");
            out.println(text(view, "name") + " at " + address + ", fleet " + text(view, "fleet") + ": view "
                    + text(view, "version") + ", digest " + text(view, "digest") + ", sees " + text(standing, "seen")
                    + " of " + text(standing, "of") + " (" + text(standing, "reach") + " for "
                    + standing.get("for_ms").getAsLong() / 1000 + " s)");
            for (JsonElement element : view.getAsJsonArray("members")) {
                JsonObject member = element.getAsJsonObject();
                String silent = member.has("silent_ms")
                        ? ", heard " + text(member, "silent_ms") + " ms ago"
                                + (member.get("through_others").getAsBoolean() ? " through others" : "")
                        : "";
                out.println(String.format(
                        "  %-16s %-8s %-21s for %6d s, %s%s",
                        text(member, "name"),
                        text(member, "state"),
                        text(member, "address"),
                        member.get("for_ms").getAsLong() / 1000,
                        text(member, "cause"),
                        silent));
            }
        }

        private static String text(JsonObject from, String key) {
            return from.get(key).getAsString();
        }

        /** Members that two gateways hold to be in different states, a line each; those that are gone in both agree. */
        static List<String> differences(Map<String, JsonObject> views) {
            Map<String, Map<String, String>> held = new TreeMap<>();
            views.forEach((address, view) -> view.getAsJsonArray("members").forEach(element -> {
                JsonObject member = element.getAsJsonObject();
                String state = text(member, "state");
                boolean gone = state.equals("failed") || state.equals("left");
                held.computeIfAbsent(text(member, "name"), n -> new TreeMap<>())
                        .put(address, gone ? "gone" : state + ", life " + text(member, "life"));
            }));
            List<String> lines = new ArrayList<>();
            held.forEach((name, by) -> {
                views.keySet().forEach(address -> by.putIfAbsent(address, "gone"));
                if (by.values().stream().distinct().count() > 1) {
                    lines.add("differ on " + name + ": "
                            + String.join(
                                    "; ",
                                    by.entrySet().stream()
                                            .map(e -> e.getKey() + " has it " + e.getValue())
                                            .toList()));
                }
            });
            return lines;
        }
    }
}
