package io.sesamehead.proof.calls;

import io.sesamehead.coordination.order.ClaimRead;
import io.sesamehead.coordination.order.ClaimWrite;
import io.sesamehead.proof.FakeStore.StoreResponse;
import io.sesamehead.proof.FakeStore.VersionedValue;
import io.sesamehead.state.IdempotencyRecord;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A daemon's client of the object API. The store executes each call at most once, and the daemon receives one response
 * or a timeout.
 */
final class StoreClient {
    static final String NAME = "store";

    private static final long TIMEOUT_MILLIS = 400;

    private final CallSimulation simulation;
    private final String daemon;
    private final SimulatedProcess process;

    StoreClient(CallSimulation simulation, String daemon, SimulatedProcess process) {
        this.simulation = simulation;
        this.daemon = daemon;
        this.process = process;
    }

    /** Reads an object. The callback receives empty if no response arrives before the timeout. */
    void read(String name, Consumer<Optional<StoreResponse>> callback) {
        StoreCall storeCall = new StoreCall(callback);
        simulation
                .network()
                .send(
                        daemon,
                        NAME,
                        () -> storeCall.executeOnce(() -> simulation.store().read(name, storeCall::respond)));
    }

    /**
     * Writes an object if its version matches; version 0 creates it. The callback receives empty if no response arrives
     * before the timeout.
     */
    void write(String name, long version, Object value, Consumer<Optional<StoreResponse>> callback) {
        StoreCall storeCall = new StoreCall(callback);
        simulation
                .network()
                .send(
                        daemon,
                        NAME,
                        () -> storeCall.executeOnce(
                                () -> simulation.store().write(name, version, value, storeCall::respond)));
    }

    void readClaim(String name, Consumer<ClaimRead> callback) {
        read(name, result -> callback.accept(claimRead(result)));
    }

    void writeClaim(String name, Optional<String> version, IdempotencyRecord record, Consumer<ClaimWrite> callback) {
        long expected = version.map(Long::parseLong).orElse(0L);
        write(name, expected, record, result -> callback.accept(claimWrite(result)));
    }

    private static ClaimRead claimRead(Optional<StoreResponse> result) {
        if (result.isEmpty()) {
            return new ClaimRead.Unavailable();
        }
        return switch (result.get()) {
            case StoreResponse.Found(VersionedValue(long version, Object value)) ->
                new ClaimRead.Found((IdempotencyRecord) value, Long.toString(version));
            case StoreResponse.Missing ignored -> new ClaimRead.Missing();
            case StoreResponse.Conflict ignored ->
                throw new IllegalStateException("unexpected conflict in response to a read");
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
            case StoreResponse.Missing ignored ->
                throw new IllegalStateException("unexpected missing object in response to a write");
            case StoreResponse.Conflict ignored -> new ClaimWrite.Conflict();
            case StoreResponse.Unavailable ignored -> new ClaimWrite.Unavailable();
            case StoreResponse.ResponseLost ignored -> new ClaimWrite.Ambiguous();
        };
    }

    /** One call to the store. The network may duplicate the request and the response. */
    private final class StoreCall {
        private final Consumer<Optional<StoreResponse>> callback;
        private boolean executed;

        StoreCall(Consumer<Optional<StoreResponse>> callback) {
            this.callback = process.bindConsumer(new FirstValueConsumer<>(callback));
            process.after(TIMEOUT_MILLIS, () -> this.callback.accept(Optional.empty()));
        }

        void executeOnce(Runnable call) {
            if (!executed) {
                executed = true;
                call.run();
            }
        }

        void respond(StoreResponse result) {
            simulation.network().send(NAME, daemon, () -> callback.accept(Optional.of(result)));
        }
    }
}
