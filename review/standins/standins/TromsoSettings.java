package standins;

/** Settings within the ranges of the page on the first site, for a small deployment. */
public final class TromsoSettings {
    private TromsoSettings() {}

    /** The settings of so many gateways and shards, with the classes given as the items of their list. */
    public static String of(int gateways, int shards, String classes) {
        return "{\"balancers\":" + gateways + ",\"index\":0,\"zone\":0,\"tier\":0,\"period_ms\":2.0,"
                + "\"service_type\":\"stores\",\"stages\":[\"chart-store\"],\"discovery\":\"push\",\"weights\":\"rough\","
                + "\"failure_domains\":[\"tromso-dc1\"],\"machine_types\":[\"std-2core\"],"
                + "\"callers\":{\"marks_retry\":true},"
                + "\"caps\":{\"cancel\":true,\"connect_timeout_ms\":250.0,\"cpu_us_per_request\":0.0,"
                + "\"cpu_us_per_s\":628527,\"idle_close_ms\":15000.0,\"max_open\":25141,\"max_retry_after_ms\":2000.0,"
                + "\"may_duplicate\":false,\"most_tries\":3,\"peer_messages\":false,\"probes\":true,"
                + "\"retry_after\":true,\"streams_per_conn\":32},"
                + "\"classes\":[" + classes + "],"
                + "\"extra\":{\"beyond_share\":0.05,\"class_writes\":[false,true,false],\"cold_bears\":16.0,"
                + "\"share_worth\":0.3,\"slots_total\":" + shards + ",\"tells_elsewhere\":false,\"unit_mean\":2.09,"
                + "\"units_top\":8,\"use_period_ms\":0.0},"
                + "\"plans\":[{\"burst\":0.0,\"limit\":0.0,\"name\":\"basic\",\"price\":0.96,\"proportion\":1.0,"
                + "\"rate\":6.7,\"reservation\":3.4,\"tolerance\":0.0},{\"burst\":0.0,\"limit\":0.0,"
                + "\"name\":\"priority\",\"price\":1.0,\"proportion\":3.0,\"rate\":10.0,\"reservation\":8.0,"
                + "\"tolerance\":0.0}],"
                + "\"report\":{\"names\":[\"util\"],\"via\":\"probe\"},"
                + "\"rules\":{\"ask_within_ms\":10000.0,\"cold_from\":0.26,\"drain_grace_ms\":500.0,\"fall_ms\":1500.0,"
                + "\"grace_to_answer_ms\":8.0,\"overload_factor\":2.0,\"warm_up_ms\":18000.0}}";
    }

    /** The three classes of the page. */
    public static String classes() {
        return TILE_READ + "," + SURVEY_WRITE + "," + BULK_EXPORT;
    }

    public static final String TILE_READ =
            "{\"name\":\"tile-read\",\"aim_ms\":250.0,\"hard_limit_ms\":1500.0,\"group\":\"all\",\"late_value\":0.2,"
                    + "\"repeat_window_ms\":5000.0,\"semantics\":\"repeatable\",\"stream\":false,\"value\":3.0}";
    public static final String SURVEY_WRITE =
            "{\"name\":\"survey-write\",\"aim_ms\":500.0,\"hard_limit_ms\":2500.0,\"group\":\"cell\",\"late_value\":0.2,"
                    + "\"repeat_window_ms\":2500.0,\"semantics\":\"by_key\",\"stream\":false,\"value\":3.0}";
    public static final String BULK_EXPORT =
            "{\"name\":\"bulk-export\",\"aim_ms\":1500.0,\"hard_limit_ms\":5000.0,\"group\":\"all\",\"late_value\":0.25,"
                    + "\"repeat_window_ms\":5000.0,\"semantics\":\"repeatable\",\"stream\":false,\"value\":1.0}";
}
