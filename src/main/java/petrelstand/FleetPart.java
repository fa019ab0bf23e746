package petrelstand;

import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import petrelstand.config.FleetConfig;
import petrelstand.config.GatewayConfig;
import petrelstand.core.Counters;
import petrelstand.core.LoopMonitor;
import petrelstand.core.Timers;
import petrelstand.fleet.FleetMetrics;
import petrelstand.fleet.FleetService;
import petrelstand.http.HttpFront;
import petrelstand.logging.JsonLog;

/** Runs the fleet membership in a gateway; loaded only if the operator's file has a section {@code [fleet]}. */
final class FleetPart {
    private final FleetConfig config;
    private final FleetService service;

    FleetPart(
            FleetConfig config,
            GatewayConfig gateway,
            Timers timers,
            LongSupplier nowUs,
            LoopMonitor loopMonitor,
            Executor loop,
            Counters counters,
            Consumer<String> log) {
        this.config = config;
        this.service = new FleetService(
                config, gateway.name(), gateway.seed(), timers, nowUs, loopMonitor, loop, counters, log);
        if (log instanceof JsonLog json) {
            json.setViewVersion(service::viewVersion);
        }
    }

    FleetService service() {
        return service;
    }

    void open() throws IOException {
        service.open();
    }

    void start(HttpFront front) {
        service.start();
        if (config.servesPage()) {
            front.addPage("/members", service::membersJson);
        }
        if (config.servesMetrics()) {
            front.addPage("/metrics", () -> FleetMetrics.prometheusText(service));
        }
    }

    void reload(FleetConfig changed) {
        service.reload(changed);
    }

    void leave() {
        service.leave();
    }

    void afterLeaving(Runnable then) {
        service.afterLeaving(then);
    }
}
