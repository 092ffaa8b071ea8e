package io.sesamehead.proof.calls;

import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.proof.FaultKind;
import io.sesamehead.proof.calls.Frame.Content;
import java.util.Optional;
import java.util.function.Consumer;

/** A fake engine group or plain service: runs requests, records the executions and sends answers in frames. */
final class Upstream {
    private static final int TOKEN_INTERVAL_MILLIS = 6;
    private static final int MAX_WORK_MILLIS = 40;

    /** The end marker follows the last token at once, so that a tear between the two needs its own chance. */
    private static final double BREAK_BEFORE_END_FACTOR = 5;

    private final CallSimulation world;
    private final String name;
    private final String domain;
    private final FakeService service;
    private final SimulatedProcess process;

    Upstream(CallSimulation world, String name, String domain, FakeService service) {
        this.world = world;
        this.name = name;
        this.domain = domain;
        this.service = service;
        this.process = new SimulatedProcess(world.queue(), 1);
    }

    String name() {
        return name;
    }

    UpstreamId id() {
        return new UpstreamId(name);
    }

    String domain() {
        return domain;
    }

    FakeService service() {
        return service;
    }

    SimulatedProcess process() {
        return process;
    }

    /** Stops the process; daemons whose connections it had see them break unless the network is cut. */
    void kill() {
        process.kill();
        world.daemons().forEach(daemon -> daemon.onUpstreamKilled(this));
    }

    void receive(UpstreamRequest request) {
        if (!request.markDelivered() || !request.connection().open()) {
            return;
        }
        if (world.upstreamFaults().shouldRefuse()) {
            world.record().recordFault(FaultKind.REFUSAL);
            send(request, new Content.Refused());
            return;
        }
        Optional<String> key = request.operation().key();
        Optional<String> firstBody = key.flatMap(service::firstBody);
        if (firstBody.isPresent() && service.keyedCallSettings().refusesRepeats()) {
            handleDuplicateKey(request, key.get(), firstBody.get());
            return;
        }
        world.checker().callExecuted(request.call());
        key.ifPresent(present -> service.recordStart(present, request.operation().body()));
        if (service.model()) {
            process.after(TOKEN_INTERVAL_MILLIS, () -> stream(request, request.resumeFrom()));
        } else {
            process.after(1 + world.random().nextInt(MAX_WORK_MILLIS), () -> finish(request));
        }
    }

    /** A repeated request gets the first answer, if there is one yet; another request with the same key is refused. */
    private void handleDuplicateKey(UpstreamRequest request, String key, String firstBody) {
        if (!request.operation().body().equals(firstBody)) {
            send(request, new Content.Refused());
            return;
        }
        service.answer(key).ifPresent(first -> send(request, new Content.Answer(first)));
    }

    /** Answers the question what became of a key. */
    void queryKey(String key, Consumer<Optional<String>> answer) {
        answer.accept(service.answer(key));
    }

    private void finish(UpstreamRequest request) {
        Operation operation = request.operation();
        operation.key().ifPresent(key -> service.recordAnswer(key, operation.answer()));
        send(request, operation.failing() ? new Content.Failed() : new Content.Answer(operation.answer()));
    }

    private void stream(UpstreamRequest request, int index) {
        if (!request.connection().open()) {
            return;
        }
        Operation operation = request.operation();
        boolean ended = index >= operation.tokens();
        if (world.upstreamFaults().shouldBreakStream(ended ? BREAK_BEFORE_END_FACTOR : 1)) {
            world.record().recordFault(FaultKind.TORN_STREAM);
            request.connection().daemon().onConnectionClosedByPeer(request.connection());
            return;
        }
        if (ended) {
            send(request, new Content.End(operation.tokens()));
            return;
        }
        send(request, new Content.Token(index, operation.token(index)));
        process.after(TOKEN_INTERVAL_MILLIS, () -> stream(request, index + 1));
    }

    private void send(UpstreamRequest request, Content content) {
        SimulatedDaemon daemon = request.connection().daemon();
        Frame frame = request.frame(content);
        world.network().send(name, daemon.name(), daemon.process().bind(() -> daemon.receiveFrame(frame)));
    }
}
