package petrelstand.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.testing.Configs;
import petrelstand.testing.Harness;

/** The gateway's file, the node list and the operator's file. */
class ConfigTest {
    private static final Map<Integer, String> DAEMON = Map.of(8731, "HEALTHY");
    private final Harness world = new Harness();

    /** The simulator's text and the gateway's JSON are two writings of one thing. */
    @Test
    void theJsonGivesTheSameSettingsAsTheText() {
        GatewayConfig config = GatewayConfig.parse(Configs.gateway(9001, 8500), Map.of());
        assertEquals(world.settings, config.settings());
        assertEquals("n1", config.name());
        assertEquals(1024, config.sockets());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
    }

    @Test
    void whatTheFileLeavesOutComesFromTheEnvironment() {
        String file = Configs.gateway(1, 2).replace("\"listen\":\"127.0.0.1:0\",", "").replace("\"name\":\"n1\",", "");
        Map<String, String> env = Map.of("RELAY_LISTEN", "127.0.0.1:9000", "RELAY_NAME", "n9");
        assertEquals("127.0.0.1:9000", GatewayConfig.parse(file, env).listen());
        assertTrue(assertThrows(IllegalArgumentException.class, () -> GatewayConfig.parse(file, Map.of()))
                .getMessage().contains("name is missing"));
    }

    @Test
    void aNodeListKeepsStatesStartsAndShards() {
        NodeList list = NodeList.parse("{\"version\":43,\"full\":false,\"servers\":["
                + "{\"id\":\"s-5be2a07c\",\"addr\":\"10.1.0.18:9000\",\"zone\":\"b\",\"cell\":3,\"state\":\"draining\","
                + "\"started_ms\":1764600000000},{\"id\":\"x\",\"state\":\"removed\"}]}", List.of("a", "b"));
        assertEquals(43, list.version());
        assertEquals(1764600000000.0, list.nodes().get(0).entry().upSinceMs());
        assertEquals(NodeState.DRAINING, list.nodes().get(0).entry().state());
        assertEquals(1, list.nodes().get(0).entry().zone());
        assertTrue(list.nodes().get(1).gone());
    }

    @Test
    void aMalformedNodeListIsNamed() {
        for (String text : List.of("[]", "{}", "{\"version\":1,\"servers\":[3]}", "{\"version\":\"x\"}",
                "{\"version\":1,\"servers\":[{\"id\":\"a\",\"addr\":\"host:1\",\"state\":\"up\"}]}",
                "{\"version\":1,\"servers\":[{\"id\":\"a\",\"addr\":\"1.1.1.1:1\",\"state\":\"up\",\"cell\":1048576}]}")) {
            assertThrows(IllegalArgumentException.class, () -> NodeList.parse(text, List.of()), text);
        }
    }

    @Test
    void anOperatorsFileMapsModulesAndEndpoints() {
        RsyncConfig config = RsyncConfig.parse(Configs.rsync(500, Map.of(8731, "HEALTHY")), world.settings);
        RsyncConfig.Module module = config.module("charts");
        assertEquals(2, module.requestClass());
        assertEquals(0xb1, module.volume());
        assertEquals(NodeEntry.PRIVATE, module.shard());
        assertEquals(500_000, config.idleUs());
        assertEquals("127.0.0.1:8731", config.nodes().get(0).address());
        assertEquals(module.shard(), config.nodes().get(0).entry().shard());
    }

    @Test
    void healthMapsToNodeStates() {
        String[][] cases = {{"UNKNOWN", "READY"}, {"HEALTHY", "READY"}, {"DEGRADED", "READY"},
            {"DRAINING", "DRAINING"}, {"UNHEALTHY", "DRAINING"}, {"TIMEOUT", "DRAINING"}};
        for (String[] one : cases) {
            RsyncConfig config = RsyncConfig.parse(Configs.rsync(500, Map.of(8731, one[0])), world.settings);
            assertEquals(NodeState.valueOf(one[1]), config.nodes().get(0).entry().state());
        }
    }

    @Test
    void xdsFieldsMayBeInEitherSpellingAndInline() {
        String snake = Configs.rsync(500, DAEMON).replace("socketAddress", "socket_address")
                .replace("portValue", "port_value").replace("lbEndpoints", "lb_endpoints")
                .replace("healthStatus", "health_status").replace("clusterName", "cluster_name");
        assertEquals(1, RsyncConfig.parse(snake, world.settings).nodes().size());
        String inline = Configs.rsync(500, DAEMON);
        int at = inline.indexOf("\"endpoints\":[{\"clusterName\"");
        String assignment = inline.substring(at + 13, inline.length() - 2);
        String file = inline.substring(0, at - 1).replace("\"type\":\"EDS\"",
                "\"type\":\"STATIC\",\"loadAssignment\":" + assignment) + "}";
        assertEquals(1, RsyncConfig.parse(file, world.settings).nodes().size());
    }

    @Test
    void aBadOperatorsFileIsOneLineThatNamesTheField() {
        String good = Configs.rsync(500, DAEMON);
        String[][] cases = {
            {good.replace("bulk-export", "bulk"), "modules[0].class is none of"},
            {good.replace("\"basic\"", "\"gold\""), "modules[0].plan is none of"},
            {good.replace("00000000000000b1", "b1"), "modules[0].volume must be 16 hex digits"},
            {good.replace("\"units\":4", "\"units\":0"), "modules[0].units is not a number"},
            {good.replace("\"units\":4", "\"units\":\"x\""), "modules[0].units is not a number"},
            {good.replace("\"cluster\":\"chart-rsync\"", "\"cluster\":\"x\""), "modules[0].cluster names no cluster: 'x'"},
            {good.replace("\"name\":\"charts\"", "\"name\":\"a b\""), "modules[0].name may hold"},
            {good.replace("EDS", "STRICT_DNS"), "clusters[0].type must be STATIC or EDS"},
            {good.replace("HEALTHY", "FINE"), "endpoints[0].endpoints[0].lbEndpoints[0].healthStatus is unknown"},
            {good.replace("8731", "\"x\""), "socketAddress.portValue is not a number"},
            {good.replace("\"address\":\"127.0.0.1\"", "\"address\":\"charts.local\""), "socketAddress.address is not an"},
            {good.replace("\"zone\":\"a\"", "\"zone\":\"c\""), "locality.zone is none of"},
            {good.replace("\"idleMs\":500", "\"idleMs\":-1"), "idleMs is not a number"},
            {good.replace("\"clusters\":[{", "\"clusters\":[3,{"), "clusters[0] is not an object"},
            {good.replace("\"modules\":[{", "\"x\":[{"), "modules is missing"},
            {"]", "the text is not JSON"},
        };
        for (String[] one : cases) {
            String message = assertThrows(IllegalArgumentException.class,
                    () -> RsyncConfig.parse(one[0], world.settings), one[1]).getMessage();
            assertTrue(message.contains(one[1]) && !message.contains("\n"), message);
        }
    }
}
