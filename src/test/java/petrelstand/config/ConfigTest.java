package petrelstand.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import petrelstand.decision.Scheduling.DedupGroup;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.testing.BrokerFixture;
import petrelstand.testing.Configs;

/** Tests reading the gateway's file, node lists and the operator's file. */
class ConfigTest {
    private static final Map<Integer, String> HEALTHY_NODE = Map.of(8731, "HEALTHY");
    private final BrokerFixture harness = new BrokerFixture();

    @Test
    void jsonAndSimulatorTextGiveEqualSettings() {
        GatewayConfig config = GatewayConfig.parse(Configs.gateway(9001, 8500), Map.of());
        assertEquals(harness.settings, config.settings());
        assertEquals("n1", config.name());
        assertEquals(1024, config.socketLimit());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
    }

    @Test
    void environmentSuppliesWhatTheFileLeavesOut() {
        String file =
                Configs.gateway(1, 2).replace("\"listen\":\"127.0.0.1:0\",", "").replace("\"name\":\"n1\",", "");
        Map<String, String> env = Map.of("RELAY_LISTEN", "127.0.0.1:9000", "RELAY_NAME", "n9");
        assertEquals("127.0.0.1:9000", GatewayConfig.parse(file, env).listenAddress());
        assertTrue(assertThrows(IllegalArgumentException.class, () -> GatewayConfig.parse(file, Map.of()))
                .getMessage()
                .contains("name is missing"));
    }

    /** Guards against assuming that all nodes drop repeats when the settings do not say which ones do. */
    @Test
    void keyedClassWithoutGroupGetsTheShardGroup() {
        String text = BrokerFixture.SETTINGS;
        assertEquals(
                DedupGroup.SHARD,
                SettingsReader.parse(text.replace("classes.1.group=cell\n", ""))
                        .classes()
                        .get(1)
                        .group());
        assertEquals(
                DedupGroup.ALL,
                SettingsReader.parse(text.replace("classes.1.group=cell", "classes.1.group=all"))
                        .classes()
                        .get(1)
                        .group());
    }

    @Test
    void nodeListIsParsedWithStatesZonesAndStartTimes() {
        NodeList list = NodeList.parse(
                "{\"version\":43,\"full\":false,\"servers\":["
                        + "{\"id\":\"s-5be2a07c\",\"addr\":\"10.1.0.18:9000\",\"zone\":\"b\",\"cell\":3,\"state\":\"draining\","
                        + "\"started_ms\":1764600000000},{\"id\":\"x\",\"state\":\"removed\"}]}",
                List.of("a", "b"));
        assertEquals(43, list.version());
        assertEquals(1764600000000.0, list.nodes().get(0).entry().upSinceMs());
        assertEquals(NodeState.DRAINING, list.nodes().get(0).entry().state());
        assertEquals(1, list.nodes().get(0).entry().zone());
        assertTrue(list.nodes().get(1).isGone());
    }

    @Test
    void malformedNodeListIsRejected() {
        for (String text : List.of(
                "[]",
                "{}",
                "{\"version\":1,\"servers\":[3]}",
                "{\"version\":\"x\"}",
                "{\"version\":1,\"servers\":[{\"id\":\"a\",\"addr\":\"host:1\",\"state\":\"up\"}]}",
                "{\"version\":1,\"servers\":[{\"id\":\"a\",\"addr\":\"1.1.1.1:1\",\"state\":\"up\",\"cell\":1048576}]}")) {
            assertThrows(IllegalArgumentException.class, () -> NodeList.parse(text, List.of()), text);
        }
    }

    private RsyncConfig loadRsync(String ini, String xds) {
        return Configs.load(ini, xds, harness.settings).rsync();
    }

    @Test
    void operatorFileDefinesRsyncModulesAndNodes() {
        RsyncConfig config = loadRsync(Configs.operator(500), Configs.xds(HEALTHY_NODE));
        RsyncConfig.Module module = config.module("charts");
        assertEquals(2, module.requestClass());
        assertEquals(0xb1, module.volume());
        assertEquals(NodeEntry.FIRST_PRIVATE_SHARD, module.shard());
        assertEquals(500_000, config.idleTimeoutUs());
        assertEquals("127.0.0.1:8731", config.nodes().get(0).address());
        assertEquals(module.shard(), config.nodes().get(0).entry().shard());
    }

    @Test
    void endpointHealthMapsToNodeState() {
        String[][] cases = {
            {"UNKNOWN", "READY"},
            {"HEALTHY", "READY"},
            {"DEGRADED", "READY"},
            {"DRAINING", "DRAINING"},
            {"UNHEALTHY", "DRAINING"},
            {"TIMEOUT", "DRAINING"}
        };
        for (String[] testCase : cases) {
            RsyncConfig config = loadRsync(Configs.operator(500), Configs.xds(Map.of(8731, testCase[0])));
            assertEquals(
                    NodeState.valueOf(testCase[1]),
                    config.nodes().get(0).entry().state());
        }
    }

    @Test
    void xdsFieldsMayBeSnakeCaseAndAssignmentsInline() {
        String ini = Configs.operator(500);
        String xds = Configs.xds(HEALTHY_NODE);
        String snake = xds.replace("socketAddress", "socket_address")
                .replace("portValue", "port_value")
                .replace("lbEndpoints", "lb_endpoints")
                .replace("healthStatus", "health_status")
                .replace("clusterName", "cluster_name");
        assertEquals(1, loadRsync(ini, snake).nodes().size());
        int assignmentStart = xds.indexOf("\"endpoints\":[{\"clusterName\"");
        String assignment = xds.substring(assignmentStart + 13, xds.length() - 2);
        String inline = xds.substring(0, assignmentStart - 1)
                        .replace("\"type\":\"EDS\"", "\"type\":\"STATIC\",\"loadAssignment\":" + assignment)
                + "}";
        assertEquals(1, loadRsync(ini, inline).nodes().size());
    }

    /** Each case: the text to replace, its replacement, and the expected part of the message. */
    @Test
    void malformedOperatorFileNamesFileLineAndKey() {
        String[][] iniCases = {
            {"bulk-export", "bulk", "petrelstand.ini:9: [rsync module charts] class must be one of"},
            {"= basic", "= gold", "petrelstand.ini:10: [rsync module charts] plan must be one of"},
            {"00000000000000b1", "b1", "petrelstand.ini:11: [rsync module charts] volume must be 16 hex digits"},
            {"units = 4", "units = 0", "petrelstand.ini:12: [rsync module charts] units is not a number from"},
            {"units = 4", "units = x", ":12: [rsync module charts] units is not a number from"},
            {"= chart-rsync", "= x", ":13: [rsync module charts] cluster names an unknown cluster: 'x'"},
            {"module charts]", "module a b]", ":7: [rsync module a b] a module's name may hold"},
            {"idle = 500 ms", "idle = 500", ":3: [rsync] idle is not a time with its unit"},
            {"idle = 500 ms", "idle = 0 ms", ":3: [rsync] idle must be from"},
            {"most_transfers = 8", "most_transfers = 1.5", ":4: [rsync] most_transfers is not a whole number"},
            {"127.0.0.1:0", "charts.local:1", ":2: [rsync] listen is not an address"},
            {"xds = xds.json", "", "petrelstand.ini:1: [rsync] xds is missing"},
            {"xds = xds.json", "xds = xds.json\nextra = 1", ":6: [rsync] extra is no key of this section"},
            {"xds = xds.json", "xds = xds.json\nidle = 1 s", ":6: [rsync] idle is given twice"},
            {"[rsync]", "[rsnc]", "petrelstand.ini:1: [rsnc] is no section of this file"},
            {"[rsync]", "listen = 1\n[rsync]", "petrelstand.ini:1: listen is before the first section"},
            {"[rsync]", "[log]\nform = xml\n[rsync]", ":2: [log] form must be one of [text, json], not 'xml'"},
            {"[rsync]", "[state]\nevery = 2 s\n[rsync]", ":1: [state] folder is missing"},
            {"[rsync]", "[state]\nfolder = x\nevery = 1 us\n[rsync]", ":3: [state] every must be from"},
        };
        for (String[] testCase : iniCases) {
            String text = Configs.operator(500);
            assertTrue(text.contains(testCase[0]), testCase[0]);
            assertRejected(text.replace(testCase[0], testCase[1]), Configs.xds(HEALTHY_NODE), testCase[2]);
        }
        String[][] xdsCases = {
            {"EDS", "STRICT_DNS", "clusters[0].type must be STATIC or EDS"},
            {"HEALTHY", "FINE", "xds.json: endpoints[0].endpoints[0].lbEndpoints[0].healthStatus is unknown"},
            {"8731", "\"x\"", "socketAddress.portValue is not a number"},
            {"\"address\":\"127.0.0.1\"", "\"address\":\"charts.local\"", "socketAddress.address is not an"},
            {"\"zone\":\"a\"", "\"zone\":\"c\"", "locality.zone must be one of"},
            {"\"clusters\":[{", "\"clusters\":[3,{", "clusters[0] is not an object"},
            {"{\"clusters\"", "]", "xds.json: the text is not JSON"},
        };
        for (String[] testCase : xdsCases) {
            assertRejected(
                    Configs.operator(500), Configs.xds(HEALTHY_NODE).replace(testCase[0], testCase[1]), testCase[2]);
        }
    }

    private void assertRejected(String ini, String xds, String expected) {
        String message = assertThrows(IllegalArgumentException.class, () -> loadRsync(ini, xds), expected)
                .getMessage();
        assertTrue(message.contains(expected) && !message.contains("\n"), message + " should contain: " + expected);
    }
}
