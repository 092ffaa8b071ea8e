package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.StoreRevision;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** Recent registry changes. A relay repeats each one in several consecutive reports, as reports can be lost. */
final class RecentChanges {
    /** Time for which a change is repeated, in milliseconds. Five report intervals. */
    static final long REPEAT_DURATION_MILLIS = 900;
    /** Maximum number of repeated changes. They fit into two packets; a receiver that missed more queries the store. */
    static final int MAX_CHANGES = 24;

    private final Deque<Batch> batches = new ArrayDeque<>();

    private record Batch(
            StoreRevision sinceRevision,
            StoreRevision revision,
            List<ChangeBatch.Change<UpstreamEntry>> changes,
            long receivedAtMillis) {}

    /**
     * Changes that lead from one revision to a later one without a gap.
     *
     * @param sinceRevision the earlier revision
     * @param changes the changes, in order
     */
    record Delta(StoreRevision sinceRevision, List<ChangeBatch.Change<UpstreamEntry>> changes) {}

    /**
     * Adds changes that lead from one revision to a later one. All of them are stored with the later revision: a
     * receiver at that revision has them all, and any other receiver can apply all of them in order, even if it already
     * has some.
     */
    void add(StoreRevision since, ChangeBatch<UpstreamEntry> changes, long nowMillis) {
        List<ChangeBatch.Change<UpstreamEntry>> marked = changes.changes().stream()
                .map(change -> new ChangeBatch.Change<>(
                        new StoredObject<>(
                                change.object().name(),
                                changes.revision(),
                                change.object().content()),
                        change.deleted()))
                .toList();
        batches.addLast(new Batch(since, changes.revision(), marked, nowMillis));
        batches.removeIf(batch -> nowMillis - batch.receivedAtMillis() > REPEAT_DURATION_MILLIS);
    }

    /** Discards all changes, because the registry was listed again or the store was restored. */
    void clear() {
        batches.clear();
    }

    /** Returns the latest changes that lead up to a revision without a gap. */
    Delta deltaTo(StoreRevision revision, long nowMillis) {
        StoreRevision since = revision;
        int count = 0;
        List<Batch> chosen = new ArrayList<>();
        Iterator<Batch> newestFirst = batches.descendingIterator();
        while (newestFirst.hasNext()) {
            Batch batch = newestFirst.next();
            count += batch.changes().size();
            boolean expired = nowMillis - batch.receivedAtMillis() > REPEAT_DURATION_MILLIS;
            if (expired || count > MAX_CHANGES || !batch.revision().equals(since)) {
                break;
            }
            since = batch.sinceRevision();
            chosen.add(0, batch);
        }
        List<ChangeBatch.Change<UpstreamEntry>> changes = new ArrayList<>();
        chosen.forEach(batch -> changes.addAll(batch.changes()));
        return new Delta(since, changes);
    }
}
