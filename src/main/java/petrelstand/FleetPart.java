package petrelstand;

import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import petrelstand.config.FleetConfig;
import petrelstand.config.GatewayConfig;
import petrelstand.core.Counters;
import petrelstand.core.Timers;
import petrelstand.fleet.FleetMetrics;
import petrelstand.fleet.FleetService;
import petrelstand.http.HttpFront;
import petrelstand.logging.JsonLog;

/** The fleet's part of a gateway, put together; loaded only where the operator's file has {@code [fleet]}. */
final class FleetPart {
    private final FleetConfig config;
    private final FleetService fleet;

    FleetPart(
            FleetConfig config,
            GatewayConfig gateway,
            Timers timers,
            LongSupplier nowUs,
            Executor loop,
            Counters counters,
            Consumer<String> log) {
        this.config = config;
        this.fleet = new FleetService(config, gateway.name(), gateway.seed(), timers, nowUs, loop, counters, log);
        if (log instanceof JsonLog json) {
            json.setViewVersion(fleet::viewVersion);
        }
    }

    FleetService fleet() {
        return fleet;
    }

    void open() throws IOException {
        fleet.open();
    }

    void start(HttpFront front) {
        fleet.start();
        if (config.page()) {
            front.addPage("/members", fleet::membersJson);
        }
        if (config.metrics()) {
            front.addPage("/metrics", () -> FleetMetrics.prometheusText(fleet));
        }
    }

    void reload(FleetConfig changed) {
        fleet.reload(changed);
    }

    void leave() {
        fleet.leave();
    }

    void afterLeaving(Runnable then) {
        fleet.afterLeaving(then);
    }
}
