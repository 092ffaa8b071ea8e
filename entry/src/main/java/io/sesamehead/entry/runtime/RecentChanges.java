package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.StoredObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** The last changes of the registry, which a relay repeats in several reports in a row, as reports can be lost. */
final class RecentChanges {
    /** Time for which a change is repeated, in milliseconds: five reports. */
    static final long REPEAT_DURATION_MILLIS = 900;
    /** Changes repeated at most: two packets. A receiver that misses others asks the store. */
    static final int MAX_CHANGES = 24;

    private final Deque<Batch> batches = new ArrayDeque<>();

    private record Batch(long since, long revision, List<ChangeBatch.Change<UpstreamEntry>> changes, long atMillis) {}

    /**
     * Changes to repeat.
     *
     * @param sinceRevision revision after which they follow
     * @param changes the changes, in order
     */
    record Delta(long sinceRevision, List<ChangeBatch.Change<UpstreamEntry>> changes) {}

    /**
     * Takes changes that lead from one revision to another. They carry the later one from here on: a receiver that knows
     * it has them all, and any other one can take them all in their order, whatever part of them it knows.
     */
    void add(long since, ChangeBatch<UpstreamEntry> changes, long nowMillis) {
        List<ChangeBatch.Change<UpstreamEntry>> marked = changes.changes().stream()
                .map(change -> new ChangeBatch.Change<>(
                        new StoredObject<>(
                                change.object().name(),
                                changes.revision(),
                                change.object().content()),
                        change.deleted()))
                .toList();
        batches.addLast(new Batch(since, changes.revision(), marked, nowMillis));
        batches.removeIf(batch -> nowMillis - batch.atMillis() > REPEAT_DURATION_MILLIS);
    }

    /** Forgets all: the registry was read anew. */
    void clear() {
        batches.clear();
    }

    /** Returns the latest changes that lead up to a revision without a gap. */
    Delta deltaTo(long revision, long nowMillis) {
        long since = revision;
        int count = 0;
        List<Batch> chosen = new ArrayList<>();
        Iterator<Batch> newestFirst = batches.descendingIterator();
        while (newestFirst.hasNext()) {
            Batch batch = newestFirst.next();
            count += batch.changes().size();
            boolean old = nowMillis - batch.atMillis() > REPEAT_DURATION_MILLIS;
            if (old || count > MAX_CHANGES || batch.revision() != since) {
                break;
            }
            since = batch.since();
            chosen.add(0, batch);
        }
        List<ChangeBatch.Change<UpstreamEntry>> changes = new ArrayList<>();
        chosen.forEach(batch -> changes.addAll(batch.changes()));
        return new Delta(since, changes);
    }
}
