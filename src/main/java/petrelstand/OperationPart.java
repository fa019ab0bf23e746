package petrelstand;

import java.io.IOException;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.core.Timers;
import petrelstand.http.Front;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.net.Addresses;
import petrelstand.net.EventLoop;
import petrelstand.operation.OperatorDoor;
import petrelstand.operation.OperatorDoor.Answer;
import petrelstand.operation.OperatorDoor.Call;
import petrelstand.operation.Telemetry;

/** The operators' address of a gateway, where its file gives one: the calls, and what each does. */
final class OperationPart {
    private final OperatorDoor door;

    /** Calls before a gateway's parts; evacuate and rejoin say whether they could be done. */
    OperationPart(Lifecycle life, Broker broker, Front front, Timers timers, LongSupplier clock, Counters counters,
            BooleanSupplier evacuate, BooleanSupplier rejoin) {
        Telemetry telemetry = new Telemetry(broker, counters, () -> (int) front.answering());
        door = new OperatorDoor(timers, clock, counters, Map.of(
                "/api/ready", new Call("GET", () -> life.canServe() ? new Answer(200, "ready")
                        : new Answer(503, "this process can't serve: " + word(life))),
                "/api/telemetry", new Call("GET", () -> new Answer(200, telemetry.text())),
                "/api/evacuate", new Call("POST", () -> done(evacuate, life)),
                "/api/rejoin", new Call("POST", () -> done(rejoin, life))));
    }

    private static Answer done(BooleanSupplier call, Lifecycle life) {
        return call.getAsBoolean() ? new Answer(200, word(life)) : new Answer(409, "not now: this process is " + word(life));
    }

    private static String word(Lifecycle life) {
        return switch (life.phase()) {
            case STARTING -> "starting";
            case SERVING -> "serving";
            case DRAINED -> "drained";
            case ENDING -> "ending";
        };
    }

    /** Listens at the operators' address; answers go on to the end of the process. */
    void open(EventLoop loop, String address) throws IOException {
        loop.listen(Addresses.parse(address), door::accept);
    }
}
