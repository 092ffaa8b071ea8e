package io.sesamehead.proof.calls;

import io.sesamehead.coordination.order.ClaimRead;
import io.sesamehead.coordination.order.ClaimWrite;
import io.sesamehead.proof.FakeStore.StoreResponse;
import io.sesamehead.proof.FakeStore.VersionedValue;
import io.sesamehead.state.IdempotencyRecord;
import java.util.Optional;
import java.util.function.Consumer;

/** A daemon's calls to the object API: each is carried out at most once and has one answer, or none in time. */
final class StoreClient {
    static final String NAME = "store";

    private static final long TIMEOUT_MILLIS = 400;

    private final CallSimulation world;
    private final String daemon;
    private final SimulatedProcess process;

    StoreClient(CallSimulation world, String daemon, SimulatedProcess process) {
        this.world = world;
        this.daemon = daemon;
        this.process = process;
    }

    /** Reads an object; the answer is empty when none came in time. */
    void read(String name, Consumer<Optional<StoreResponse>> answer) {
        StoreCall exchange = new StoreCall(answer);
        world.network()
                .send(daemon, NAME, () -> exchange.executeOnce(() -> world.store().read(name, exchange::respond)));
    }

    /** Writes an object conditionally, version 0 for a creation; the answer is empty when none came in time. */
    void write(String name, long version, Object value, Consumer<Optional<StoreResponse>> answer) {
        StoreCall exchange = new StoreCall(answer);
        world.network()
                .send(
                        daemon,
                        NAME,
                        () -> exchange.executeOnce(() -> world.store().write(name, version, value, exchange::respond)));
    }

    void readClaim(String name, Consumer<ClaimRead> answer) {
        read(name, result -> answer.accept(claimRead(result)));
    }

    void writeClaim(String name, Optional<String> version, IdempotencyRecord order, Consumer<ClaimWrite> answer) {
        long expected = version.map(Long::parseLong).orElse(0L);
        write(name, expected, order, result -> answer.accept(claimWrite(result)));
    }

    private static ClaimRead claimRead(Optional<StoreResponse> result) {
        if (result.isEmpty()) {
            return new ClaimRead.Unavailable();
        }
        return switch (result.get()) {
            case StoreResponse.Found(VersionedValue(long version, Object value)) ->
                new ClaimRead.Found((IdempotencyRecord) value, Long.toString(version));
            case StoreResponse.Missing ignored -> new ClaimRead.Missing();
            case StoreResponse.Conflict ignored -> throw new IllegalStateException("a read met a conflict");
            case StoreResponse.Unavailable ignored -> new ClaimRead.Unavailable();
            case StoreResponse.ResponseLost ignored -> new ClaimRead.Unavailable();
        };
    }

    private static ClaimWrite claimWrite(Optional<StoreResponse> result) {
        if (result.isEmpty()) {
            return new ClaimWrite.Ambiguous();
        }
        return switch (result.get()) {
            case StoreResponse.Found found ->
                new ClaimWrite.Written(Long.toString(found.object().version()));
            case StoreResponse.Missing ignored -> throw new IllegalStateException("a write found nothing");
            case StoreResponse.Conflict ignored -> new ClaimWrite.Conflict();
            case StoreResponse.Unavailable ignored -> new ClaimWrite.Unavailable();
            case StoreResponse.ResponseLost ignored -> new ClaimWrite.Ambiguous();
        };
    }

    /** One call: the network may repeat both directions. */
    private final class StoreCall {
        private final Consumer<Optional<StoreResponse>> answer;
        private boolean executed;

        StoreCall(Consumer<Optional<StoreResponse>> answer) {
            this.answer = process.bindConsumer(new FirstValueConsumer<>(answer));
            process.after(TIMEOUT_MILLIS, () -> this.answer.accept(Optional.empty()));
        }

        void executeOnce(Runnable call) {
            if (!executed) {
                executed = true;
                call.run();
            }
        }

        void respond(StoreResponse result) {
            world.network().send(NAME, daemon, () -> answer.accept(Optional.of(result)));
        }
    }
}
