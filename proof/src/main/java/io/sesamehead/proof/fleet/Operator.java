package io.sesamehead.proof.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.store.WriteResolution;
import io.sesamehead.coordination.store.WriteResolver;
import io.sesamehead.proof.FakeStore.StoreResponse;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Generation;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.WriteToken;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** An operator's program: reads the accepted release and replaces it with one conditional write. */
final class Operator {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 200;
    private static final long ANSWER_MILLIS = 700;

    private final Simulation sim;
    private final String name;
    private final FailureDomain domain;
    private final BiConsumer<Change, Claim> sink;
    private final Incarnation incarnation;
    private long sequence;

    /** What the operator reports at the end. */
    enum Claim {
        ACCEPTED,
        NOT_ACCEPTED,
        NOT_KNOWN
    }

    /** One change that an operator tries to make. */
    record Change(WriteToken token, Generation generation, long startedMillis) {}

    private record Attempt(Change change, long base, StoredObject value, long deadlineMillis, boolean mayHaveLanded) {
        Attempt ambiguous() {
            return new Attempt(change, base, value, deadlineMillis, true);
        }
    }

    Operator(Simulation sim, String name, FailureDomain domain, BiConsumer<Change, Claim> sink) {
        this.sim = sim;
        this.name = name;
        this.domain = domain;
        this.sink = sink;
        this.incarnation = sim.newIncarnation();
    }

    /** Tries to put a new version of the model in force. */
    void apply(String version) {
        read(answer -> {
            if (answer instanceof StoreResponse.Found found) {
                StoredObject before = StoredObject.in(found.object());
                AcceptedRelease release = (AcceptedRelease) before.content();
                begin(found.object().version(), release.generation().next(), before.history(), version);
            } else if (answer instanceof StoreResponse.Missing) {
                begin(0, new Generation(1), ImmutableList.of(), version);
            }
        });
    }

    private void begin(long base, Generation generation, ImmutableList<WriteToken> history, String version) {
        sequence++;
        WriteToken token = new WriteToken(incarnation, sequence);
        AcceptedRelease release =
                Releases.release(generation, domain, name + "-" + sequence, version, ImmutableSet.of());
        Change change = new Change(token, generation, sim.nowMillis());
        StoredObject value = StoredObject.following(history, release, token);
        write(new Attempt(change, base, value, sim.nowMillis() + TIMEOUT_MILLIS, false));
    }

    private void write(Attempt attempt) {
        Once<StoreResponse> once = new Once<>(answer -> answered(attempt, answer));
        sim.wire()
                .send(
                        name,
                        StoreClient.STORE,
                        () -> sim.store()
                                .write(
                                        Releases.OBJECT,
                                        attempt.base(),
                                        attempt.value(),
                                        result -> sim.wire().send(StoreClient.STORE, name, () -> once.accept(result))));
        sim.queue().after(ANSWER_MILLIS, () -> once.accept(new StoreResponse.ResponseLost()));
    }

    private void answered(Attempt attempt, StoreResponse answer) {
        switch (answer) {
            case StoreResponse.Found found -> sink.accept(attempt.change(), Claim.ACCEPTED);
            case StoreResponse.ResponseLost lost -> readBack(attempt.ambiguous());
            case StoreResponse.Missing missing -> refused(attempt);
            case StoreResponse.Conflict conflict -> refused(attempt);
            case StoreResponse.Unavailable unavailable -> refused(attempt);
        }
    }

    /** A refusal is certain only when no earlier write of the same change can have landed. */
    private void refused(Attempt attempt) {
        if (attempt.mayHaveLanded()) {
            readBack(attempt);
        } else {
            sink.accept(attempt.change(), Claim.NOT_ACCEPTED);
        }
    }

    private void readBack(Attempt attempt) {
        if (sim.nowMillis() > attempt.deadlineMillis()) {
            sink.accept(attempt.change(), Claim.NOT_KNOWN);
            return;
        }
        read(answer -> {
            Optional<WriteResolution> resolution = resolution(attempt, answer);
            if (resolution.isEmpty()) {
                sim.queue().after(PAUSE_MILLIS, () -> readBack(attempt));
                return;
            }
            switch (resolution.get()) {
                case WriteResolution.Accepted accepted -> sink.accept(attempt.change(), Claim.ACCEPTED);
                case WriteResolution.SupersededAfterAcceptance it -> sink.accept(attempt.change(), Claim.ACCEPTED);
                case WriteResolution.Refused it -> sink.accept(attempt.change(), Claim.NOT_ACCEPTED);
                case WriteResolution.NotApplied it -> sim.queue().after(PAUSE_MILLIS, () -> write(attempt));
                case WriteResolution.Unknown it -> sink.accept(attempt.change(), Claim.NOT_KNOWN);
            }
        });
    }

    private static Optional<WriteResolution> resolution(Attempt attempt, StoreResponse answer) {
        Optional<String> base = attempt.base() == 0 ? Optional.empty() : Optional.of(Long.toString(attempt.base()));
        WriteToken token = attempt.change().token();
        return switch (answer) {
            case StoreResponse.Found found ->
                Optional.of(WriteResolver.resolve(token, base, Optional.of(StoredObject.readBack(found.object()))));
            case StoreResponse.Missing missing -> Optional.of(WriteResolver.resolve(token, base, Optional.empty()));
            default -> Optional.empty();
        };
    }

    private void read(Consumer<StoreResponse> answer) {
        Once<StoreResponse> once = new Once<>(answer);
        sim.wire()
                .send(
                        name,
                        StoreClient.STORE,
                        () -> sim.store()
                                .read(
                                        Releases.OBJECT,
                                        result -> sim.wire().send(StoreClient.STORE, name, () -> once.accept(result))));
        sim.queue().after(ANSWER_MILLIS, () -> once.accept(new StoreResponse.Unavailable()));
    }
}
