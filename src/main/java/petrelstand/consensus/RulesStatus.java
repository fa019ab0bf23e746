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

/** Builds the JSON body of {@code GET /rules}: a gateway's effective rules and, at a voter, the versions and leases. */
public final class RulesStatus {
    private RulesStatus() {}

    /**
     * A gateway process that has asked this leader for a lease.
     *
     * @param actingForMs time since the process reported {@code actingVersion}
     * @param leaseLeftMs time until its lease has expired, or 0
     * @param sinceHeardMs time since its last request
     */
    public record LeaseRequester(
            String name,
            long actingVersion,
            long actingForMs,
            long preparedVersion,
            String loadError,
            long leaseLeftMs,
            long sinceHeardMs) {}

    /** An immutable copy of a voter's state, for other threads. */
    public record VoterStatus(
            String leader,
            long term,
            boolean isLeader,
            List<String> voters,
            RuleRegistry.Snapshot registry,
            List<LeaseRequester> requesters) {
        /** Copies the state of a voter; to be called on the voter's executor. */
        public static VoterStatus of(Voter voter, long nowUs) {
            List<LeaseRequester> requesters = voter.grantor().gateways().stream()
                    .map((LeaseGrantor.GatewayState gateway) -> new LeaseRequester(
                            gateway.name(),
                            gateway.actingVersion(),
                            (nowUs - gateway.actingSinceUs()) / 1000,
                            gateway.preparedVersion(),
                            gateway.loadError(),
                            Math.max(0, (gateway.leaseUntilUs() - nowUs) / 1000),
                            (nowUs - gateway.lastHeardUs()) / 1000))
                    .toList();
            return new VoterStatus(
                    voter.leader(),
                    voter.term(),
                    voter.grantor().isLeader(),
                    voter.voters(),
                    voter.registry().snapshot(),
                    requesters);
        }
    }

    /** The body for the gateway {@code name}; {@code voter} is null at a gateway that is not a voter. */
    public static String toJson(String name, long nowUs, LeaseHolder holder, VoterStatus voter) {
        JsonObject page = new JsonObject();
        LeaseHolder.EffectiveRules effective = holder.effectiveRules(nowUs);
        page.addProperty("name", name);
        page.addProperty("acts_on", effective.version());
        page.addProperty("mode", effective.mode().name().toLowerCase(Locale.ROOT));
        page.addProperty("for_ms", (nowUs - holder.effectiveSinceUs()) / 1000);
        page.addProperty("active", holder.knownVersions()[0]);
        page.addProperty("waiting", holder.knownVersions()[1]);
        page.addProperty("leader", voter == null || voter.leader().isEmpty() ? holder.leader() : voter.leader());
        page.addProperty("votes", voter != null);
        page.add("rules", rules(effective.rules()));
        if (voter != null) {
            page.addProperty("term", voter.term());
            JsonArray voters = new JsonArray();
            voter.voters().forEach(voters::add);
            page.add("voters", voters);
            page.addProperty("newest", voter.registry().newest());
            JsonObject reservedFloors = new JsonObject();
            for (Map.Entry<String, Long> floor :
                    voter.registry().reservedFloors().entrySet()) {
                reservedFloors.addProperty(floor.getKey(), floor.getValue());
            }
            page.add("floors_kept_free", reservedFloors);
            JsonArray gatewayNames = new JsonArray();
            voter.registry().gatewayNames().forEach(gatewayNames::add);
            page.add("gateways", gatewayNames);
            JsonArray versions = new JsonArray();
            for (RuleRegistry.Version version : voter.registry().versions()) {
                JsonObject entry = new JsonObject();
                entry.addProperty("version", version.number());
                entry.addProperty("base", version.base());
                entry.addProperty(
                        "state", version.state().name().toLowerCase(Locale.ROOT).replace('_', ' '));
                entry.addProperty("who", version.author());
                entry.addProperty("why", version.reason());
                entry.addProperty("wall_ms", version.wallMs());
                entry.addProperty("text", version.text());
                versions.add(entry);
            }
            page.add("versions", versions);
            if (voter.isLeader()) {
                JsonArray requesters = new JsonArray();
                for (LeaseRequester requester : voter.requesters()) {
                    JsonObject entry = new JsonObject();
                    entry.addProperty("name", requester.name());
                    entry.addProperty("acts_on", requester.actingVersion());
                    entry.addProperty("for_ms", requester.actingForMs());
                    entry.addProperty("has", requester.preparedVersion());
                    entry.addProperty("refuses", requester.loadError());
                    entry.addProperty("lease_ms", requester.leaseLeftMs());
                    entry.addProperty("heard_ms", requester.sinceHeardMs());
                    requesters.add(entry);
                }
                page.add("who", requesters);
            }
        }
        return page.toString();
    }

    private static JsonObject rules(Rules rules) {
        JsonObject json = new JsonObject();
        rules.limits().forEach((plan, limit) -> json.addProperty("limit " + plan, limit.units()));
        rules.modules()
                .forEach((name, module) -> json.addProperty("module " + name, module.open() ? "open" : "closed"));
        rules.nodes()
                .forEach((name, node) -> json.addProperty("node " + name, node.removed() ? "removed" : node.address()));
        rules.switches().forEach((name, on) -> json.addProperty("switch " + name, on ? "on" : "off"));
        return json;
    }
}
