package io.sesamehead.proof.calls;

import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.proof.FaultKind;
import io.sesamehead.proof.calls.Frame.Content;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Simulated engine group or instance of a plain service: runs requests, records the executions, and sends responses in
 * frames.
 */
final class Upstream {
    private static final int TOKEN_INTERVAL_MILLIS = 6;
    private static final int MAX_WORK_MILLIS = 40;

    /**
     * Raises the probability of a break between the last token and the end marker. That window needs its own
     * probability, because the end marker immediately follows the last token.
     */
    private static final double BREAK_BEFORE_END_FACTOR = 5;

    private final CallSimulation simulation;
    private final String name;
    private final String domain;
    private final FakeService service;
    private final SimulatedProcess process;

    Upstream(CallSimulation simulation, String name, String domain, FakeService service) {
        this.simulation = simulation;
        this.name = name;
        this.domain = domain;
        this.service = service;
        this.process = new SimulatedProcess(simulation.queue(), 1);
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

    /** Kills the process. Connected daemons detect the broken connections unless they are partitioned from it. */
    void kill() {
        process.kill();
        simulation.daemons().forEach(daemon -> daemon.onUpstreamKilled(this));
    }

    void receive(UpstreamRequest request) {
        if (!request.markDelivered() || !request.connection().open()) {
            return;
        }
        if (simulation.upstreamFaults().shouldRefuse()) {
            simulation.record().recordFault(FaultKind.REFUSAL);
            send(request, new Content.Refused());
            return;
        }
        Optional<String> key = request.operation().key();
        Optional<String> firstBody = key.flatMap(service::firstBody);
        if (firstBody.isPresent() && service.keyedCallSettings().refusesRepeats()) {
            handleDuplicateKey(request, key.get(), firstBody.get());
            return;
        }
        simulation.checker().callExecuted(request.call());
        key.ifPresent(receivedKey ->
                service.recordStart(receivedKey, request.operation().body()));
        if (service.model()) {
            process.after(TOKEN_INTERVAL_MILLIS, () -> stream(request, request.resumeFrom()));
        } else {
            process.after(1 + simulation.random().nextInt(MAX_WORK_MILLIS), () -> finish(request));
        }
    }

    /**
     * Responds to a duplicate request with the recorded answer, if there is one yet. A different request with the same
     * key is refused.
     */
    private void handleDuplicateKey(UpstreamRequest request, String key, String firstBody) {
        if (!request.operation().body().equals(firstBody)) {
            send(request, new Content.Refused());
            return;
        }
        service.answer(key).ifPresent(first -> send(request, new Content.Answer(first)));
    }

    /** Reports the answer recorded for an idempotency key. */
    void queryKey(String key, Consumer<Optional<String>> callback) {
        callback.accept(service.answer(key));
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
        boolean complete = index >= operation.tokens();
        if (simulation.upstreamFaults().shouldBreakStream(complete ? BREAK_BEFORE_END_FACTOR : 1)) {
            simulation.record().recordFault(FaultKind.TORN_STREAM);
            request.connection().daemon().onConnectionClosedByPeer(request.connection());
            return;
        }
        if (complete) {
            send(request, new Content.End(operation.tokens()));
            return;
        }
        send(request, new Content.Token(index, operation.token(index)));
        process.after(TOKEN_INTERVAL_MILLIS, () -> stream(request, index + 1));
    }

    private void send(UpstreamRequest request, Content content) {
        SimulatedDaemon daemon = request.connection().daemon();
        Frame frame = request.frame(content);
        simulation.network().send(name, daemon.name(), daemon.process().bind(() -> daemon.receiveFrame(frame)));
    }
}
