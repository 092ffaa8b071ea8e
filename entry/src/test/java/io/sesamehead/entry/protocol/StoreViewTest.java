package io.sesamehead.entry.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.entry.protocol.generated.StoreView;
import io.sesamehead.entry.protocol.generated.UpstreamChange;
import io.sesamehead.state.StoreRevision;
import org.junit.jupiter.api.Test;

/** Guards against a view whose revisions are read as those of another era. */
final class StoreViewTest {
    private static final UpstreamChange REMOVAL = UpstreamChange.newBuilder()
            .setName("i-1")
            .setRevision(12)
            .setDeleted(true)
            .build();

    private static StoreView.Builder view() {
        return StoreView.newBuilder()
                .setConfigVersion(7)
                .setRegistryRevision(12)
                .setChangesSince(9)
                .addChanges(REMOVAL);
    }

    @Test
    void eraSurvivesEncoding() throws Exception {
        StoreView decoded =
                StoreView.parseFrom(view().setStoreEra(1L << 40).build().toByteArray());

        assertThat(decoded.getStoreEra()).isEqualTo(1L << 40);
        assertThat(decoded.getConfigVersion()).isEqualTo(7);
        assertThat(decoded.getChangesSince()).isEqualTo(9);
        assertThat(decoded.getChangesList()).containsExactly(REMOVAL);
        assertThat(UpstreamRecordCodec.decode(decoded.getChanges(0), decoded.getStoreEra())
                        .object()
                        .revision())
                .isEqualTo(new StoreRevision(1L << 40, 12));
    }

    @Test
    void viewWithoutEraIsOfEraZero() throws Exception {
        assertThat(StoreView.parseFrom(view().build().toByteArray()).getStoreEra())
                .isZero();
    }
}
