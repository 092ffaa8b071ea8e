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

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private static ChangeBatch<UpstreamEntry> changes(long revision, int count, boolean deleted) {
        List<ChangeBatch.Change<UpstreamEntry>> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(new ChangeBatch.Change<>(new StoredObject<>("i-" + i, at(1), Optional.empty()), deleted));
        }
        return new ChangeBatch<>(list, at(revision));
    }

    @Test
    void returnsChangesWithoutGap() {
        recent.add(at(10), changes(12, 2, false), 0);
        recent.add(at(12), changes(15, 1, true), 200);

        RecentChanges.Delta delta = recent.deltaTo(at(15), 300);
        assertThat(delta.sinceRevision()).isEqualTo(at(10));
        assertThat(delta.changes()).extracting(ChangeBatch.Change::deleted).containsExactly(false, false, true);
        assertThat(recent.deltaTo(at(16), 300)).isEqualTo(new RecentChanges.Delta(at(16), List.of()));
    }

    /** A removal has the revision of the removed object. Repeated on its own, it would undo a later registration. */
    @Test
    void removalHasRevisionOfItsBatch() {
        recent.add(at(12), changes(15, 1, true), 200);

        assertThat(recent.deltaTo(at(15), 300).changes())
                .allMatch(change -> change.object().revision().equals(at(15)));
    }

    @Test
    void stopsRepeatingOldChanges() {
        recent.add(at(10), changes(12, 2, false), 0);
        recent.add(at(12), changes(15, 1, true), 500);

        assertThat(recent.deltaTo(at(15), RecentChanges.REPEAT_DURATION_MILLIS + 1)
                        .sinceRevision())
                .isEqualTo(at(12));
    }

    @Test
    void exposesGapAboveMaxChanges() {
        recent.add(at(10), changes(12, RecentChanges.MAX_CHANGES + 1, false), 0);
        assertThat(recent.deltaTo(at(12), 100)).isEqualTo(new RecentChanges.Delta(at(12), List.of()));

        recent.add(at(12), changes(14, 3, false), 200);
        assertThat(recent.deltaTo(at(14), 300).sinceRevision()).isEqualTo(at(12));
    }

    @Test
    void clearDiscardsChanges() {
        recent.add(at(10), changes(12, 2, false), 0);
        recent.clear();

        assertThat(recent.deltaTo(at(12), 100).sinceRevision()).isEqualTo(at(12));
    }
}
