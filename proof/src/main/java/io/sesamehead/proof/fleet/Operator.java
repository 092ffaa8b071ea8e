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
    private static final long CHANGE_TIMEOUT_MILLIS = 5_000;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final long ANSWER_TIMEOUT_MILLIS = 700;

    private final SimulationContext context;
    private final String name;
    private final FailureDomain domain;
    private final BiConsumer<Change, Claim> claimListener;
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

    private record Attempt(
            Change change, long base, StoredObject value, long deadlineMillis, boolean mayHaveBeenApplied) {
        Attempt asAmbiguous() {
            return new Attempt(change, base, value, deadlineMillis, true);
        }
    }

    Operator(SimulationContext sim, String name, FailureDomain domain, BiConsumer<Change, Claim> sink) {
        this.context = sim;
        this.name = name;
        this.domain = domain;
        this.claimListener = sink;
        this.incarnation = sim.newIncarnation();
    }

    /** Tries to put a new version of the model in force. */
    void apply(String version) {
        read(answer -> {
            if (answer instanceof StoreResponse.Found found) {
                StoredObject before = StoredObject.from(found.object());
                AcceptedRelease release = (AcceptedRelease) before.content();
                startChange(found.object().version(), release.generation().next(), before.history(), version);
            } else if (answer instanceof StoreResponse.Missing) {
                startChange(0, new Generation(1), ImmutableList.of(), version);
            }
        });
    }

    private void startChange(long base, Generation generation, ImmutableList<WriteToken> history, String version) {
        sequence++;
        WriteToken token = new WriteToken(incarnation, sequence);
        AcceptedRelease release =
                ReleaseFactory.release(generation, domain, name + "-" + sequence, version, ImmutableSet.of());
        Change change = new Change(token, generation, context.nowMillis());
        StoredObject value = StoredObject.withHistory(history, release, token);
        write(new Attempt(change, base, value, context.nowMillis() + CHANGE_TIMEOUT_MILLIS, false));
    }

    private void write(Attempt attempt) {
        OneShotConsumer<StoreResponse> once = new OneShotConsumer<>(answer -> handleAnswer(attempt, answer));
        context.transport()
                .send(
                        name,
                        StoreClient.STORE,
                        () -> context.store()
                                .write(
                                        ReleaseFactory.OBJECT,
                                        attempt.base(),
                                        attempt.value(),
                                        result -> context.transport()
                                                .send(StoreClient.STORE, name, () -> once.accept(result))));
        context.queue().after(ANSWER_TIMEOUT_MILLIS, () -> once.accept(new StoreResponse.ResponseLost()));
    }

    private void handleAnswer(Attempt attempt, StoreResponse answer) {
        switch (answer) {
            case StoreResponse.Found found -> claimListener.accept(attempt.change(), Claim.ACCEPTED);
            case StoreResponse.ResponseLost lost -> readBack(attempt.asAmbiguous());
            case StoreResponse.Missing missing -> handleRefusal(attempt);
            case StoreResponse.Conflict conflict -> handleRefusal(attempt);
            case StoreResponse.Unavailable unavailable -> handleRefusal(attempt);
        }
    }

    /** A refusal is certain only when no earlier write of the same change can have landed. */
    private void handleRefusal(Attempt attempt) {
        if (attempt.mayHaveBeenApplied()) {
            readBack(attempt);
        } else {
            claimListener.accept(attempt.change(), Claim.NOT_ACCEPTED);
        }
    }

    private void readBack(Attempt attempt) {
        if (context.nowMillis() > attempt.deadlineMillis()) {
            claimListener.accept(attempt.change(), Claim.NOT_KNOWN);
            return;
        }
        read(answer -> {
            Optional<WriteResolution> resolution = resolution(attempt, answer);
            if (resolution.isEmpty()) {
                context.queue().after(RETRY_DELAY_MILLIS, () -> readBack(attempt));
                return;
            }
            switch (resolution.get()) {
                case WriteResolution.Accepted accepted -> claimListener.accept(attempt.change(), Claim.ACCEPTED);
                case WriteResolution.SupersededAfterAcceptance it ->
                    claimListener.accept(attempt.change(), Claim.ACCEPTED);
                case WriteResolution.Refused it -> claimListener.accept(attempt.change(), Claim.NOT_ACCEPTED);
                case WriteResolution.NotApplied it -> context.queue().after(RETRY_DELAY_MILLIS, () -> write(attempt));
                case WriteResolution.Unknown it -> claimListener.accept(attempt.change(), Claim.NOT_KNOWN);
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
        OneShotConsumer<StoreResponse> once = new OneShotConsumer<>(answer);
        context.transport()
                .send(
                        name,
                        StoreClient.STORE,
                        () -> context.store()
                                .read(
                                        ReleaseFactory.OBJECT,
                                        result -> context.transport()
                                                .send(StoreClient.STORE, name, () -> once.accept(result))));
        context.queue().after(ANSWER_TIMEOUT_MILLIS, () -> once.accept(new StoreResponse.Unavailable()));
    }
}
