package io.sesamehead.coordination.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.StoreRevision;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against stale configurations and API keys that stay in use, also after the store was restored from a copy. */
final class ActiveConfigTest {
    private static final long LEASE_MILLIS = 3_600;

    private final ActiveConfig activeConfig = new ActiveConfig(LEASE_MILLIS);

    private static ServingConfig config(long version, String... keys) {
        Map<String, Tenant> tenants = new HashMap<>();
        for (String key : keys) {
            tenants.put(key, new Tenant(new ClientAccount("t1"), OptionalInt.empty()));
        }
        return new ServingConfig(version, List.of(), Map.of(), CallLimits.DEFAULT, true, tenants);
    }

    private static StoreRevision at(long era, long number) {
        return new StoreRevision(era, number);
    }

    @Test
    void ignoresOlderConfiguration() {
        activeConfig.offer(config(7), at(1, 3), 100);

        assertThat(activeConfig.offer(config(5), at(1, 2), 200)).isFalse();
        assertThat(activeConfig.table().orElseThrow().config().version()).isEqualTo(7);
        assertThat(activeConfig.ageMillis(200)).isEqualTo(100);
    }

    @Test
    void keysExpireUntilStoreAnswersAgain() {
        activeConfig.offer(config(7), at(1, 3), 1_000);

        assertThat(activeConfig.fresh(1_000 + LEASE_MILLIS)).isTrue();
        assertThat(activeConfig.fresh(1_001 + LEASE_MILLIS)).isFalse();
        activeConfig.confirm(9_000);
        assertThat(activeConfig.fresh(9_001)).isTrue();
    }

    @Test
    void unreadableConfigurationConfirmsNothing() {
        activeConfig.offer(config(7), at(1, 3), 1_000);
        activeConfig.recordUnreadable();
        activeConfig.confirm(3_000);

        assertThat(activeConfig.ageMillis(3_000)).isEqualTo(2_000);
    }

    @Test
    void requestSentBeforeSuspensionDoesNotRenewLease() {
        activeConfig.offer(config(7), at(1, 3), 1_000);
        long afterSuspension = 20_000;

        activeConfig.confirm(1_500);

        assertThat(activeConfig.fresh(afterSuspension)).isFalse();
    }

    @Test
    void isNeverFreshWithoutConfiguration() {
        activeConfig.confirm(10);

        assertThat(activeConfig.fresh(11)).isFalse();
    }

    /** A copy that lacks the active version says nothing about changes that its operators have made since. */
    @Test
    void olderCopyConfirmsNothing() {
        activeConfig.offer(config(7), at(1, 9), 1_000);
        activeConfig.recordRestore();

        assertThat(activeConfig.offer(config(5), at(2, 3), 2_000)).isFalse();
        activeConfig.confirm(3_000);

        assertThat(activeConfig.version()).isEqualTo(7);
        assertThat(activeConfig.ageMillis(4_000)).isEqualTo(3_000);
        assertThat(activeConfig.fresh(1_001 + LEASE_MILLIS)).isFalse();
    }

    @Test
    void versionThatIsWrittenAgainConfirms() {
        activeConfig.offer(config(7), at(1, 9), 1_000);
        activeConfig.recordRestore();
        activeConfig.offer(config(5), at(2, 3), 2_000);

        assertThat(activeConfig.offer(config(7), at(2, 6), 3_000)).isFalse();

        assertThat(activeConfig.ageMillis(4_000)).isEqualTo(1_000);
    }

    /** The operators may never write the lost version again, but a newer one. */
    @Test
    void newerVersionReplacesOneThatStaysLost() {
        activeConfig.offer(config(7), at(1, 9), 1_000);
        activeConfig.recordRestore();
        activeConfig.offer(config(5), at(2, 3), 2_000);

        assertThat(activeConfig.offer(config(8), at(2, 6), 3_000)).isTrue();

        assertThat(activeConfig.fresh(4_000)).isTrue();
    }

    @Test
    void unreadStoreConfirmsNothingAfterRestore() {
        activeConfig.offer(config(7), at(1, 9), 1_000);
        activeConfig.recordRestore();

        activeConfig.confirm(3_000);

        assertThat(activeConfig.ageMillis(4_000)).isEqualTo(3_000);
    }

    /** A daemon that has started after the restore reads the old copy and does not know that it is one. */
    @Test
    void keysOfOldCopyEndWhenNewerVersionIsReported() {
        activeConfig.offer(config(5), at(2, 3), 1_000);

        assertThat(activeConfig.recordReported(7, 1_200)).isTrue();
        assertThat(activeConfig.fresh(1_200))
                .as("the store may have the version")
                .isTrue();
        activeConfig.confirm(1_100);
        assertThat(activeConfig.fresh(1_300)).isTrue();
        activeConfig.confirm(1_200);

        assertThat(activeConfig.fresh(1_300)).isFalse();
        assertThat(activeConfig.isConfirmedWithin(2_000, 1_300)).isFalse();
        activeConfig.offer(config(7), at(2, 6), 1_400);
        assertThat(activeConfig.fresh(1_500)).isTrue();
    }

    @Test
    void reportedVersionIsReadOnce() {
        activeConfig.offer(config(7), at(1, 9), 1_000);

        assertThat(activeConfig.recordReported(7, 1_100)).isFalse();
        assertThat(activeConfig.recordReported(8, 1_200)).isTrue();
        assertThat(activeConfig.recordReported(8, 1_300)).isFalse();
    }

    /** The operators of a restored store may assign the lost version again with other content. */
    @Test
    void laterContentReplacesSameVersion() {
        activeConfig.offer(config(7, "lost"), at(1, 9), 1_000);
        activeConfig.recordRestore();

        assertThat(activeConfig.offer(config(7, "lost"), at(2, 4), 2_000)).isFalse();
        assertThat(activeConfig.offer(config(7, "new"), at(2, 5), 3_000)).isTrue();
        assertThat(activeConfig.offer(config(7, "lost"), at(1, 9), 4_000)).isFalse();

        assertThat(activeConfig.table().orElseThrow().config().tenantsByKey()).containsOnlyKeys("new");
    }
}
