package petrelstand.rsync;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.config.RsyncConfig;
import petrelstand.core.Attempt;
import petrelstand.core.ClientHandler;
import petrelstand.core.Demand;
import petrelstand.core.Exchange;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Outcome;

/**
 * An rsync client's connection. The request is taken when the client names its module, so a refusal is still one line
 * that every client understands; the client hears OK only when a node has opened the module for it.
 */
final class ClientSession extends Session implements ClientHandler, Transfer.ClientEnd {
    enum State {
        GREETING,
        MODULE,
        WAITING,
        ARGUMENTS,
        RELAYING,
        ENDING
    }

    private static final int MOST_ARGUMENTS = 64;
    /** When a client refused for the gateway's own sake may come back. */
    private static final long COME_BACK_US = 2_000_000;

    private final RsyncFront front;
    private final boolean full;
    private final Lines lines = new Lines();
    private final List<String> arguments = new ArrayList<>();
    private State state = State.GREETING;
    private Transfer transfer;
    private Exchange exchange;
    private Timers.Timer idle;
    private long movedUs;

    ClientSession(EndPoint endPoint, RsyncFront front, boolean full) {
        super(endPoint);
        this.front = front;
        this.full = full;
    }

    /** A session that found no room and waits only to be told. */
    boolean isRefusedOnly() {
        return full;
    }

    @Override
    void opened() {
        write(Lines.GREETING);
        movedUs = front.broker().nowUs();
        idle = front.timers().schedule(movedUs + front.config().idleTimeoutUs(), this::checkIdle);
    }

    @Override
    void moved() {
        movedUs = front.broker().nowUs();
    }

    /** Cuts a session in which nothing has moved for the idle limit. */
    private void checkIdle() {
        long due = movedUs + front.config().idleTimeoutUs();
        long now = front.broker().nowUs();
        if (waitsForNode()) {
            // The gateway has the move; the class's deadline bounds it.
            movedUs = now;
            due = now + front.config().idleTimeoutUs();
        }
        if (now < due) {
            idle = front.timers().schedule(due, this::checkIdle);
        } else if (!isClosed()) {
            front.broker().counters().increment("rsync.idle");
            front.log("a session idle for " + Lines.seconds(front.config().idleTimeoutUs()) + " s was cut, " + state);
            leave("idle for " + Lines.seconds(front.config().idleTimeoutUs()) + " s");
        }
    }

    /** No node has the module open: not yet, or no longer, where one died before it was sent the arguments. */
    private boolean waitsForNode() {
        return state == State.WAITING || state == State.ARGUMENTS && !transfer.isOpen();
    }

    // ---- The opening lines ----

    @Override
    boolean use(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            if (waitsForNode()) {
                return false;
            }
            switch (state) {
                case RELAYING -> {
                    transfer.up(bytes.duplicate(), () -> {
                        bytes.position(bytes.limit());
                        transfer.checkWhole();
                        resume();
                    });
                    return !bytes.hasRemaining();
                }
                case ENDING -> bytes.position(bytes.limit());
                default -> {
                    String line = lines.next(bytes);
                    if (line != null) {
                        line(line);
                    }
                }
            }
        }
        return true;
    }

    private void line(String line) {
        switch (state) {
            case GREETING -> greeted(Lines.version(line));
            case MODULE -> module(line);
            default -> argument(line);
        }
    }

    private void greeted(int version) {
        if (version == 0) {
            end("protocol startup error");
        } else if (version < Lines.VERSION) {
            end("protocol version " + version + " is not carried here, " + Lines.VERSION + " or later is");
        } else if (full) {
            refused(COME_BACK_US);
        } else {
            state = State.MODULE;
        }
    }

    private void module(String name) {
        if (name.isEmpty() || name.equals("#list")) {
            StringBuilder list = new StringBuilder();
            front.config().modules().forEach(m -> list.append(String.format("%-15s\t%s%n", m.name(), m.comment())));
            endWith(ByteBuffer.wrap((list + Lines.EXIT).getBytes(StandardCharsets.UTF_8)));
            return;
        }
        RsyncConfig.Module module = front.config().module(name);
        if (module == null) {
            front.broker().counters().increment("rsync.unknown_module");
            end("Unknown module '" + name + "'");
        } else if (front.isDraining()) {
            end("draining, come again in " + Lines.seconds(COME_BACK_US) + " s");
        } else {
            state = State.WAITING;
            transfer = new Transfer(name, this);
            long leftUs = (long) (front.broker()
                            .settings()
                            .classes()
                            .get(module.requestClass())
                            .deadlineMs()
                    * 1000);
            boolean writes = front.broker()
                    .settings()
                    .classes()
                    .get(module.requestClass())
                    .writes();
            front.broker()
                    .submit(
                            new Demand(
                                    module.requestClass(),
                                    module.plan(),
                                    0,
                                    module.volume(),
                                    module.units(),
                                    module.shard(),
                                    0,
                                    false,
                                    writes,
                                    leftUs),
                            transfer,
                            this,
                            taken -> exchange = taken);
        }
    }

    @Override
    public void taken() {
        moved();
        if (state == State.WAITING) {
            state = State.ARGUMENTS;
            write(Lines.OK);
        }
        resume();
    }

    private void argument(String line) {
        if (!line.isEmpty()) {
            if (arguments.size() >= MOST_ARGUMENTS) {
                throw new RecordReader.Malformed("more than " + MOST_ARGUMENTS + " arguments");
            }
            arguments.add(line);
            return;
        }
        Options options = Options.parse(arguments, transfer.module());
        state = State.RELAYING;
        transfer.begin(options);
        front.began(exchange);
        String all = String.join("\n", arguments) + "\n\n";
        transfer.upArguments(ByteBuffer.wrap(all.getBytes(StandardCharsets.UTF_8)), this::resume);
    }

    // ---- The relay ----

    @Override
    public void relay(ByteBuffer bytes, Runnable left) {
        write(bytes, left);
    }

    // ---- The end ----

    @Override
    public boolean served(Object answer) {
        finish();
        getEndPoint().shutdownOutput();
        close();
        return true;
    }

    @Override
    public void refused(long retryAfterUs) {
        end("refused, come again in " + Lines.seconds(Math.max(retryAfterUs, 1000)) + " s");
    }

    @Override
    public void failed(Attempt last) {
        boolean late = last == null || !last.isEnded() || last.outcome() == Outcome.TIMED_OUT;
        end(late ? "timed out, the transfer is not complete" : "failed, the transfer is not complete");
    }

    @Override
    void malformed(String why) {
        front.broker().counters().increment("rsync.malformed");
        leave(why);
    }

    @Override
    void ended() {
        leave(null);
    }

    void endIfIdle() {
        if (state == State.GREETING || state == State.MODULE) {
            end("draining, come again in " + Lines.seconds(COME_BACK_US) + " s");
        }
    }

    /** The client's own end of the exchange: nothing more is owed, and the attempt stops. */
    private void leave(String why) {
        Exchange left = exchange;
        if (why == null) {
            close();
        } else {
            end(why);
        }
        if (left != null) {
            front.broker().clientGone(left);
        }
    }

    /** Ends with an error in the form that the client can read now, or by closing where none can be put in. */
    private void end(String why) {
        if (state == State.ENDING || isClosed()) {
            return;
        }
        if (state == State.ARGUMENTS || state == State.RELAYING) {
            boolean untouched = !transfer.begun() || transfer.untouched();
            if (isWriting() || !untouched && !transfer.atFrame()) {
                close();
            } else {
                endWith(Lines.errorFrame(why, untouched));
            }
        } else {
            endWith(ByteBuffer.wrap(Lines.error(why).getBytes(StandardCharsets.UTF_8)));
        }
    }

    private void endWith(ByteBuffer bytes) {
        finish();
        write(bytes, () -> {
            getEndPoint().shutdownOutput();
            idle = front.timers().schedule(front.broker().nowUs() + 500_000, this::close);
        });
        resume();
    }

    private void finish() {
        state = State.ENDING;
        exchange = null;
        idle.cancel();
        idle = front.timers().schedule(front.broker().nowUs() + front.config().idleTimeoutUs(), this::close);
    }

    @Override
    public void close() {
        if (!isClosed()) {
            super.close();
            idle.cancel();
            front.closed(this);
            if (exchange != null) {
                front.broker().clientGone(exchange);
            }
        }
    }
}
