package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.store.ReadBackObject;
import io.sesamehead.coordination.store.WriteResolution;
import io.sesamehead.coordination.store.WriteResolver;
import io.sesamehead.proof.FakeStore.StoreResponse;
import io.sesamehead.proof.FakeStore.VersionedValue;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.WriteToken;
import java.util.Optional;
import java.util.function.Consumer;

/** One process's calls to the store. An answer that does not come in time is lost, and a lost write is read back. */
final class StoreClient {
    static final String STORE = "store";

    private static final long TIMEOUT_MILLIS = 700;
    private static final int MAX_READ_BACKS = 3;
    private static final long READ_BACK_DELAY_MILLIS = 100;

    private final SimulationContext context;
    private final SimProcess process;
    private final String self;
    private final Incarnation incarnation;
    private long sequence;

    StoreClient(SimulationContext sim, SimProcess process, String self, Incarnation incarnation) {
        this.context = sim;
        this.process = process;
        this.self = self;
        this.incarnation = incarnation;
    }

    WriteToken nextToken() {
        sequence++;
        return new WriteToken(incarnation, sequence);
    }

    void read(String name, Consumer<StoreResponse> answer) {
        call(reply -> context.store().read(name, reply), new StoreResponse.Unavailable(), answer);
    }

    /** Sends a conditional write once; 0 as the base version creates the object. */
    void write(String name, long base, StoredObject value, Consumer<WriteOutcome> outcome) {
        call(reply -> context.store().write(name, base, value, reply), new StoreResponse.ResponseLost(), answer -> {
            switch (answer) {
                case StoreResponse.Found found ->
                    outcome.accept(new WriteOutcome.Accepted(found.object().version()));
                case StoreResponse.Conflict conflict -> outcome.accept(new WriteOutcome.Conflict());
                case StoreResponse.Missing missing -> outcome.accept(new WriteOutcome.Conflict());
                case StoreResponse.Unavailable unavailable -> outcome.accept(new WriteOutcome.NotWritten());
                case StoreResponse.ResponseLost lost ->
                    resolve(name, base, value.token(), MAX_READ_BACKS, end -> outcome.accept(outcomeOf(end)));
            }
        });
    }

    /** What a read-back told, with the version that was read. */
    private record ReadBackResult(WriteResolution resolution, long version) {}

    private void resolve(String name, long base, WriteToken token, int triesLeft, Consumer<ReadBackResult> end) {
        read(name, answer -> {
            Optional<String> baseVersion = base == 0 ? Optional.empty() : Optional.of(Long.toString(base));
            if (answer instanceof StoreResponse.Found found) {
                VersionedValue object = found.object();
                Optional<ReadBackObject> read = Optional.of(StoredObject.readBack(object));
                end.accept(new ReadBackResult(WriteResolver.resolve(token, baseVersion, read), object.version()));
            } else if (answer instanceof StoreResponse.Missing) {
                end.accept(new ReadBackResult(WriteResolver.resolve(token, baseVersion, Optional.empty()), 0));
            } else if (triesLeft > 1) {
                process.after(READ_BACK_DELAY_MILLIS, () -> resolve(name, base, token, triesLeft - 1, end));
            } else {
                end.accept(new ReadBackResult(new WriteResolution.Unknown(), 0));
            }
        });
    }

    private static WriteOutcome outcomeOf(ReadBackResult resolved) {
        return switch (resolved.resolution()) {
            case WriteResolution.Accepted accepted -> new WriteOutcome.Accepted(resolved.version());
            case WriteResolution.SupersededAfterAcceptance superseded -> new WriteOutcome.Accepted(resolved.version());
            case WriteResolution.Refused refused -> new WriteOutcome.Conflict();
            case WriteResolution.NotApplied notApplied -> new WriteOutcome.Unknown();
            case WriteResolution.Unknown unknown -> new WriteOutcome.Unknown();
        };
    }

    private void call(
            Consumer<Consumer<StoreResponse>> request, StoreResponse onTimeout, Consumer<StoreResponse> answer) {
        OneShotConsumer<StoreResponse> once = new OneShotConsumer<>(answer);
        context.transport()
                .send(
                        self,
                        STORE,
                        () -> request.accept(result ->
                                context.transport().send(STORE, self, () -> process.run(() -> once.accept(result)))));
        process.after(TIMEOUT_MILLIS, () -> once.accept(onTimeout));
    }
}
