package petrelstand.consensus;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import petrelstand.agreement.LeaseGrantor;
import petrelstand.agreement.LeaseHolder;
import petrelstand.agreement.RuleRegistry;
import petrelstand.agreement.Rules;

/** What a gateway says of its rules, as JSON for {@code GET /rules}. */
public final class RulesStatus {
    private RulesStatus() {}

    /** A process that asks this leader for leases. */
    public record LeaseRequester(
            String name,
            long actingVersion,
            long actingForMs,
            long preparedVersion,
            String loadError,
            long leaseLeftMs,
            long sinceHeardMs) {}

    /** What a voter shows, taken on its thread. */
    public record VoterStatus(
            String leader,
            long term,
            boolean isLeader,
            List<String> voters,
            RuleRegistry.Snapshot registry,
            List<LeaseRequester> requesters) {
        /** What it shows now. */
        public static VoterStatus of(Voter voter, long nowUs) {
            List<LeaseRequester> askers = voter.grantor().gateways().stream()
                    .map((LeaseGrantor.GatewayState h) -> new LeaseRequester(
                            h.name(),
                            h.actingVersion(),
                            (nowUs - h.actingSinceUs()) / 1000,
                            h.preparedVersion(),
                            h.loadError(),
                            Math.max(0, (h.leaseUntilUs() - nowUs) / 1000),
                            (nowUs - h.lastHeardUs()) / 1000))
                    .toList();
            return new VoterStatus(
                    voter.leader(),
                    voter.term(),
                    voter.grantor().isLeader(),
                    voter.voters(),
                    voter.registry().snapshot(),
                    askers);
        }
    }

    /** The page; {@code votes} is null at a gateway that does not vote. */
    public static String toJson(String name, long nowUs, LeaseHolder holder, VoterStatus votes) {
        JsonObject page = new JsonObject();
        LeaseHolder.EffectiveRules acting = holder.effectiveRules(nowUs);
        page.addProperty("name", name);
        page.addProperty("acts_on", acting.version());
        page.addProperty("mode", acting.mode().name().toLowerCase(Locale.ROOT));
        page.addProperty("for_ms", (nowUs - holder.effectiveSinceUs()) / 1000);
        page.addProperty("active", holder.knownVersions()[0]);
        page.addProperty("waiting", holder.knownVersions()[1]);
        page.addProperty("leader", votes == null || votes.leader().isEmpty() ? holder.leader() : votes.leader());
        page.addProperty("votes", votes != null);
        page.add("rules", rules(acting.rules()));
        if (votes != null) {
            page.addProperty("term", votes.term());
            JsonArray voters = new JsonArray();
            votes.voters().forEach(voters::add);
            page.add("voters", voters);
            page.addProperty("newest", votes.registry().newest());
            JsonObject marks = new JsonObject();
            for (Map.Entry<String, Long> mark :
                    votes.registry().reservedFloors().entrySet()) {
                marks.addProperty(mark.getKey(), mark.getValue());
            }
            page.add("floors_kept_free", marks);
            JsonArray names = new JsonArray();
            votes.registry().gatewayNames().forEach(names::add);
            page.add("gateways", names);
            JsonArray versions = new JsonArray();
            for (RuleRegistry.Version version : votes.registry().versions()) {
                JsonObject one = new JsonObject();
                one.addProperty("version", version.number());
                one.addProperty("base", version.base());
                one.addProperty(
                        "state", version.state().name().toLowerCase(Locale.ROOT).replace('_', ' '));
                one.addProperty("who", version.author());
                one.addProperty("why", version.reason());
                one.addProperty("wall_ms", version.wallMs());
                one.addProperty("text", version.text());
                versions.add(one);
            }
            page.add("versions", versions);
            if (votes.isLeader()) {
                JsonArray askers = new JsonArray();
                for (LeaseRequester asker : votes.requesters()) {
                    JsonObject one = new JsonObject();
                    one.addProperty("name", asker.name());
                    one.addProperty("acts_on", asker.actingVersion());
                    one.addProperty("for_ms", asker.actingForMs());
                    one.addProperty("has", asker.preparedVersion());
                    one.addProperty("refuses", asker.loadError());
                    one.addProperty("lease_ms", asker.leaseLeftMs());
                    one.addProperty("heard_ms", asker.sinceHeardMs());
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
