package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.store.StoreHistory;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.StoreRevision;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Withholds results that do not belong to the present history of a store. A store that is restored from a copy assigns
 * revisions again, so that a watch or the condition of a write from before would refer to other states. The era of a
 * response must be recorded in the history before the result is delivered.
 */
final class PresentHistoryStore implements ObjectStore {
    private final ObjectStore store;
    private final StoreHistory history;
    private final Executor eventLoop;

    PresentHistoryStore(ObjectStore store, StoreHistory history, Executor eventLoop) {
        this.store = store;
        this.history = history;
        this.eventLoop = eventLoop;
    }

    /** A listing with pages of two eras is not a state that the store ever had. */
    @Override
    public <T> void list(ObjectKind<T> kind, boolean allowStale, Consumer<StoreResult<Listing<T>>> done) {
        store.list(kind, allowStale, answer -> {
            boolean present = !(answer instanceof StoreResult.Ok<Listing<T>>(Listing<T> listing))
                    || (history.contains(listing.revision())
                            && listing.objects().stream().allMatch(object -> history.contains(object.revision())));
            done.accept(present ? answer : new StoreResult.NoResponse<>("listing of an older history"));
        });
    }

    @Override
    public <T> void watch(
            ObjectKind<T> kind, StoreRevision since, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done) {
        if (history.hasEnded(since)) {
            eventLoop.execute(() -> done.accept(new StoreResult.HistoryExpired<>()));
            return;
        }
        store.watch(kind, since, waitMillis, answer -> {
            if (history.hasEnded(since)) {
                done.accept(new StoreResult.HistoryExpired<>());
            } else if (answer instanceof StoreResult.Ok<ChangeBatch<T>>(ChangeBatch<T> changes)
                    && !history.contains(changes.revision())) {
                done.accept(new StoreResult.NoResponse<>("changes of an older history"));
            } else {
                done.accept(answer);
            }
        });
    }

    /** A write whose condition is of an ended history is not sent: another object may have its revision by now. */
    @Override
    public <T> void write(
            ObjectKind<T> kind,
            String name,
            Optional<StoreRevision> expected,
            T content,
            Consumer<StoreResult<StoredObject<T>>> done) {
        if (expected.filter(history::hasEnded).isPresent()) {
            eventLoop.execute(() -> done.accept(new StoreResult.Conflict<>()));
            return;
        }
        long sentInEra = history.era();
        store.write(kind, name, expected, content, answer -> {
            boolean present = sentInEra == history.era()
                    && !(answer instanceof StoreResult.Ok<StoredObject<T>>(StoredObject<T> object)
                            && history.hasEnded(object.revision()));
            boolean withoutEffect = answer instanceof StoreResult.Refused<StoredObject<T>>;
            done.accept(
                    present || withoutEffect
                            ? answer
                            : new StoreResult.NoResponse<>("the store was restored during the write"));
        });
    }
}
