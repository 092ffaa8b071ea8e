package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.Changes;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against groups that are given up for a lapse of the registry, and against upstreams that stay after leaving. */
final class UpstreamRegistryTest {
    private final UpstreamRegistry registry = new UpstreamRegistry();

    private static UpstreamEntry entry(String id, boolean leaving) {
        return new UpstreamEntry(
                new InstanceId(id),
                1,
                new ServiceName("pool"),
                new Endpoint("127.0.0.1", 80),
                new FailureDomain("a"),
                18,
                leaving,
                "d",
                List.of(),
                List.of(),
                Optional.empty());
    }

    private static StoredObject<UpstreamEntry> stored(String id) {
        return new StoredObject<>(id, 1, Optional.of(entry(id, false)));
    }

    @Test
    void removalWhileTheStoreAnswersTakesEffectAtOnce() {
        registry.storeAnswered(0, false);
        registry.replaceAll(List.of(stored("i-1"), stored("i-2")), 0);

        registry.apply(new Changes.Change<>(stored("i-1"), true), 100);

        assertThat(registry.entries()).extracting(UpstreamEntry::id).containsExactly(new InstanceId("i-2"));
    }

    @Test
    void entriesThatLapsedInAnOutageHoldUntilTheirUpstreamsHadTimeToReturn() {
        registry.storeAnswered(0, false);
        registry.replaceAll(List.of(stored("i-1"), stored("i-2")), 0);
        long back = 6_000;
        registry.storeAnswered(back, true);

        registry.replaceAll(List.of(stored("i-2")), back);
        assertThat(registry.entries()).hasSize(2);
        assertThat(registry.expire(back + 2_000)).isFalse();
        assertThat(registry.expire(back + UpstreamRegistry.RETURN_MILLIS)).isTrue();

        assertThat(registry.entries()).hasSize(1);
    }

    @Test
    void upstreamThatRegistersAgainStays() {
        registry.storeAnswered(0, false);
        registry.replaceAll(List.of(stored("i-1")), 0);
        registry.storeAnswered(6_000, true);
        registry.replaceAll(List.of(), 6_000);

        registry.apply(new Changes.Change<>(stored("i-1"), false), 7_000);

        assertThat(registry.expire(9_000)).isFalse();
        assertThat(registry.entries()).hasSize(1);
    }

    @Test
    void unreadableEntryNamesNoUpstream() {
        registry.storeAnswered(0, false);
        registry.replaceAll(List.of(stored("i-1")), 0);

        boolean readable =
                registry.apply(new Changes.Change<>(new StoredObject<>("i-1", 2, Optional.empty()), false), 10);

        assertThat(readable).isFalse();
        assertThat(registry.entries()).isEmpty();
    }
}
