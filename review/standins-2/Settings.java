import java.util.Locale;

/** The configuration of a gateway of a small deployment, after the example of the wire page and tromso-main.toml. */
final class Settings {
    int gateways = 3;
    int index = 0;
    int memoryMb = 192;
    int sockets = 1024;
    /** Units that a cold node bears within 1.5 s from all gateways. */
    double coldUnits = 16;
    double unitMean = 2.09;
    int shards = 10;

    String settingsJson() {
        return String.format(
                Locale.ROOT,
                """
                {"balancers":%d,"index":%d,"zone":0,"tier":0,"period_ms":2.0,"discovery":"push","service_type":"stores",
                 "weights":"rough","stages":["chart-store"],"machine_types":["std-2core"],"failure_domains":["tromso-dc1"],
                 "callers":{"marks_retry":true},
                 "caps":{"cancel":true,"connect_timeout_ms":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,
                  "idle_close_ms":15000.0,"max_open":25141,"max_retry_after_ms":2000.0,"may_duplicate":false,"most_tries":3,
                  "peer_messages":false,"probes":true,"retry_after":true,"streams_per_conn":32},
                 "classes":[
                  {"name":"tile-read","aim_ms":250.0,"hard_limit_ms":1500.0,"semantics":"repeatable","group":"all",
                   "repeat_window_ms":5000.0,"value":3.0,"late_value":0.2,"stream":false},
                  {"name":"survey-write","aim_ms":500.0,"hard_limit_ms":2500.0,"semantics":"by_key","group":"cell",
                   "repeat_window_ms":2500.0,"value":3.0,"late_value":0.2,"stream":false},
                  {"name":"bulk-export","aim_ms":1500.0,"hard_limit_ms":5000.0,"semantics":"repeatable","group":"all",
                   "repeat_window_ms":5000.0,"value":1.0,"late_value":0.2,"stream":false}],
                 "extra":{"beyond_share":0.05,"class_writes":[false,true,false],"cold_bears":%s,"share_worth":0.3,
                  "slots_total":%d,"tells_elsewhere":false,"unit_mean":%s,"units_top":8,"use_period_ms":0.0},
                 "goal":{"whole":0.6,"worst_class":0.1,"worst_tenant":0.1,"worst_window":0.2},
                 "plans":[
                  {"name":"basic","rate":6.7,"reservation":3.4,"proportion":1.0,"price":0.96,"limit":0.0,"burst":0.0,
                   "tolerance":0.0},
                  {"name":"priority","rate":10.0,"reservation":8.0,"proportion":3.0,"price":1.0,"limit":0.0,"burst":0.0,
                   "tolerance":0.0}],
                 "prices":{"probe":0.0072,"waste":0.05},
                 "report":{"names":["util"],"via":"probe"},
                 "rules":{"ask_within_ms":10000.0,"cold_from":0.26,"drain_grace_ms":500.0,"fall_ms":1500.0,
                  "grace_to_answer_ms":8.0,"overload_factor":2.0,"warm_up_ms":18000.0}}""",
                gateways,
                index,
                Double.toString(coldUnits),
                shards,
                Double.toString(unitMean));
    }

    /** The whole file; {@code known} is a list in discovery's form. */
    String configJson(String name, String listen, String discovery, String known) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "},\"known\":" + known + ",\"settings\":" + settingsJson() + "}";
    }
}
