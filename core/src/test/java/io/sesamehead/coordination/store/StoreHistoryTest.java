package io.sesamehead.coordination.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.StoreRevision;
import org.junit.jupiter.api.Test;

/** Guards against revisions of two histories being compared. */
final class StoreHistoryTest {
    private final StoreHistory history = new StoreHistory();

    @Test
    void firstEraIsNoRestore() {
        assertThat(history.record(4)).isFalse();
        assertThat(history.era()).isEqualTo(4);
    }

    @Test
    void reportsEachRestoreOnce() {
        history.record(0);
        assertThat(history.record(1)).isTrue();
        assertThat(history.record(1)).isFalse();
        assertThat(history.record(0)).isFalse();
        assertThat(history.era()).isEqualTo(1);
        assertThat(history.record(3)).isTrue();
    }

    @Test
    void higherNumberOfOlderEraIsNotPresent() {
        history.record(1);
        history.record(2);
        StoreRevision older = new StoreRevision(1, 900);
        StoreRevision present = new StoreRevision(2, 100);

        assertThat(older).isLessThan(present);
        assertThat(history.contains(older)).isFalse();
        assertThat(history.hasEnded(older)).isTrue();
        assertThat(history.contains(present)).isTrue();
        assertThat(history.hasEnded(present)).isFalse();
    }
}
