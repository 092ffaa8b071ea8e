package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.StoreRevision;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that considers its registry up to date although it missed a change. */
final class RecentChangesTest {
    private final RecentChanges recent = new RecentChanges();

    private static ChangeBatch<UpstreamEntry> changes(long revision, int count, boolean deleted) {
        List<ChangeBatch.Change<UpstreamEntry>> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(new ChangeBatch.Change<>(
                    new StoredObject<>("i-" + i, new StoreRevision(0, 1), Optional.empty()), deleted));
        }
        return new ChangeBatch<>(list, new StoreRevision(0, revision));
    }

    @Test
    void returnsChangesWithoutGap() {
        recent.add(10, changes(12, 2, false), 0);
        recent.add(12, changes(15, 1, true), 200);

        RecentChanges.Delta delta = recent.deltaTo(15, 300);
        assertThat(delta.sinceRevision()).isEqualTo(10);
        assertThat(delta.changes()).extracting(ChangeBatch.Change::deleted).containsExactly(false, false, true);
        assertThat(recent.deltaTo(16, 300)).isEqualTo(new RecentChanges.Delta(16, List.of()));
    }

    /** A removal has the revision of the removed object. Repeated on its own, it would undo a later registration. */
    @Test
    void removalHasRevisionOfItsBatch() {
        recent.add(12, changes(15, 1, true), 200);

        assertThat(recent.deltaTo(15, 300).changes())
                .allMatch(change -> change.object().revision().number() == 15);
    }

    @Test
    void stopsRepeatingOldChanges() {
        recent.add(10, changes(12, 2, false), 0);
        recent.add(12, changes(15, 1, true), 500);

        assertThat(recent.deltaTo(15, RecentChanges.REPEAT_DURATION_MILLIS + 1).sinceRevision())
                .isEqualTo(12);
    }

    @Test
    void exposesGapAboveMaxChanges() {
        recent.add(10, changes(12, RecentChanges.MAX_CHANGES + 1, false), 0);
        assertThat(recent.deltaTo(12, 100)).isEqualTo(new RecentChanges.Delta(12, List.of()));

        recent.add(12, changes(14, 3, false), 200);
        assertThat(recent.deltaTo(14, 300).sinceRevision()).isEqualTo(12);
    }

    @Test
    void clearDiscardsChanges() {
        recent.add(10, changes(12, 2, false), 0);
        recent.clear();

        assertThat(recent.deltaTo(12, 100).sinceRevision()).isEqualTo(12);
    }
}
