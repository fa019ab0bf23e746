package petrelstand.consensus;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import petrelstand.agreement.Grantor;
import petrelstand.agreement.Holder;
import petrelstand.agreement.RuleBook;
import petrelstand.agreement.Rules;

/** What a gateway says of its rules, as JSON for {@code GET /rules}. */
public final class RulesPage {
    private RulesPage() {}

    /** A process that asks this leader for leases. */
    public record Asker(
            String name, long acting, long forMs, long prepared, String refuses, long leaseMs, long heardMs) {}

    /** What a voter shows, taken on its thread. */
    public record Votes(
            String leader, long term, boolean leads, List<String> voters, RuleBook.Whole book, List<Asker> askers) {
        /** What it shows now. */
        public static Votes of(Voter voter, long nowUs) {
            List<Asker> askers = voter.grantor().holders().stream()
                    .map((Grantor.Holder h) -> new Asker(
                            h.name(),
                            h.acting(),
                            (nowUs - h.actingSinceUs()) / 1000,
                            h.prepared(),
                            h.refuses(),
                            Math.max(0, (h.untilUs() - nowUs) / 1000),
                            (nowUs - h.heardUs()) / 1000))
                    .toList();
            return new Votes(
                    voter.leader(),
                    voter.term(),
                    voter.grantor().leads(),
                    voter.voters(),
                    voter.book().whole(),
                    askers);
        }
    }

    /** The page; {@code votes} is null at a gateway that does not vote. */
    public static String text(String name, long nowUs, Holder holder, Votes votes) {
        JsonObject page = new JsonObject();
        Holder.Acting acting = holder.acting(nowUs);
        page.addProperty("name", name);
        page.addProperty("acts_on", acting.version());
        page.addProperty("mode", acting.mode().name().toLowerCase(Locale.ROOT));
        page.addProperty("for_ms", (nowUs - holder.sinceUs()) / 1000);
        page.addProperty("active", holder.heard()[0]);
        page.addProperty("waiting", holder.heard()[1]);
        page.addProperty("leader", votes == null || votes.leader().isEmpty() ? holder.leader() : votes.leader());
        page.addProperty("votes", votes != null);
        page.add("rules", rules(acting.rules()));
        if (votes != null) {
            page.addProperty("term", votes.term());
            JsonArray voters = new JsonArray();
            votes.voters().forEach(voters::add);
            page.add("voters", voters);
            page.addProperty("newest", votes.book().newest());
            JsonObject marks = new JsonObject();
            for (Map.Entry<String, Long> mark : votes.book().marks().entrySet()) {
                marks.addProperty(mark.getKey(), mark.getValue());
            }
            page.add("floors_kept_free", marks);
            JsonArray names = new JsonArray();
            votes.book().names().forEach(names::add);
            page.add("gateways", names);
            JsonArray versions = new JsonArray();
            for (RuleBook.Version version : votes.book().versions()) {
                JsonObject one = new JsonObject();
                one.addProperty("version", version.number());
                one.addProperty("base", version.base());
                one.addProperty(
                        "state", version.state().name().toLowerCase(Locale.ROOT).replace('_', ' '));
                one.addProperty("who", version.who());
                one.addProperty("why", version.why());
                one.addProperty("wall_ms", version.wallMs());
                one.addProperty("text", version.text());
                versions.add(one);
            }
            page.add("versions", versions);
            if (votes.leads()) {
                JsonArray askers = new JsonArray();
                for (Asker asker : votes.askers()) {
                    JsonObject one = new JsonObject();
                    one.addProperty("name", asker.name());
                    one.addProperty("acts_on", asker.acting());
                    one.addProperty("for_ms", asker.forMs());
                    one.addProperty("has", asker.prepared());
                    one.addProperty("refuses", asker.refuses());
                    one.addProperty("lease_ms", asker.leaseMs());
                    one.addProperty("heard_ms", asker.heardMs());
                    askers.add(one);
                }
                page.add("who", askers);
            }
        }
        return page.toString();
    }

    private static JsonObject rules(Rules rules) {
        JsonObject all = new JsonObject();
        rules.limits().forEach((plan, limit) -> all.addProperty("limit " + plan, limit.units()));
        rules.modules().forEach((name, module) -> all.addProperty("module " + name, module.open() ? "open" : "closed"));
        rules.nodes()
                .forEach((name, node) -> all.addProperty("node " + name, node.removed() ? "removed" : node.address()));
        rules.switches().forEach((name, on) -> all.addProperty("switch " + name, on ? "on" : "off"));
        return all;
    }
}
