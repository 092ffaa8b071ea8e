package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.embedded.EmbeddedChannel;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.catalog.CallLimits;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.StoreRevision;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against an exception that silently ends a periodic task or a watch. */
final class EventLoopTasksTest {
    private static final long STEP_MILLIS = 10;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeClocks clocks = new FakeClocks(1_000_000);
    private final EventLog log = new EventLog(clocks);
    private final FakeStore store = new FakeStore();
    private Throwable failure = new IllegalStateException("failure of the test");
    private int failuresLeft;
    private int calls;

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clocks.now += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    private void failAtFirst() {
        calls++;
        if (failuresLeft > 0) {
            failuresLeft--;
            throw EventLoopTasksTest.<RuntimeException>unchecked(failure);
        }
    }

    /** Lets a callback throw anything, as generated code and Netty do. */
    @SuppressWarnings("unchecked")
    private static <E extends Throwable> E unchecked(Throwable failure) throws E {
        throw (E) failure;
    }

    @Test
    void repeatsTaskThatFailedAndLogsFailure() {
        failuresLeft = 2;

        new EventLoopTasks(channel.eventLoop(), log).repeat("test", this::failAtFirst, 50);
        run(250);

        assertThat(calls).isEqualTo(5);
        assertThat(log.queuedLines()).isEqualTo(2);
    }

    @Test
    void configWatchContinuesAfterFailedCallback() {
        ActiveConfig activeConfig = new ActiveConfig(3_600);
        ConfigWatch watch =
                new ConfigWatch(channel.eventLoop(), clocks, store, activeConfig, 2_000, log, this::failAtFirst);
        failuresLeft = 1;

        watch.start();
        run(5_000);

        assertThat(activeConfig.ageMillis(clocks.now)).isLessThan(1_000);
    }

    @Test
    void configWatchContinuesAfterFailedStoreCall() {
        ActiveConfig activeConfig = new ActiveConfig(3_600);
        ConfigWatch watch = new ConfigWatch(channel.eventLoop(), clocks, store, activeConfig, 2_000, log, () -> {});
        failuresLeft = 2;
        store.beforeCall = this::failAtFirst;

        watch.start();
        run(5_000);

        assertThat(activeConfig.ageMillis(clocks.now)).isLessThan(1_000);
    }

    @Test
    void registryWatchContinuesAfterFailedCallback() {
        UpstreamRegistry registry = new UpstreamRegistry(1_200);
        RegistryWatch watch = new RegistryWatch(
                channel.eventLoop(),
                clocks,
                store,
                registry,
                2_000,
                log,
                this::failAtFirst,
                () -> false,
                () -> true,
                new SplittableRandom(1));
        failuresLeft = 1;

        watch.start();
        run(5_000);

        assertThat(clocks.now - registry.answeredAtMillis()).isLessThan(2_000);
    }

    @ParameterizedTest
    @MethodSource("errors")
    void watchContinuesAfterError(Throwable error) {
        UpstreamRegistry registry = new UpstreamRegistry(1_200);
        RegistryWatch watch = new RegistryWatch(
                channel.eventLoop(),
                clocks,
                store,
                registry,
                2_000,
                log,
                this::failAtFirst,
                () -> false,
                () -> true,
                new SplittableRandom(1));
        failure = error;
        failuresLeft = 1;

        watch.start();
        run(5_000);

        assertThat(clocks.now - registry.answeredAtMillis()).isLessThan(2_000);
    }

    private static List<Throwable> errors() {
        return List.of(new StackOverflowError(), new AssertionError(), new NoClassDefFoundError(), new IOException());
    }

    @Test
    void throwsOutOfMemoryErrorOnAfterSchedulingRetry() {
        failure = new OutOfMemoryError("test");
        failuresLeft = 1;
        int[] retries = {0};

        assertThatThrownBy(() ->
                        new EventLoopTasks(channel.eventLoop(), log).run("test", this::failAtFirst, () -> retries[0]++))
                .isSameAs(failure);

        assertThat(retries[0]).isEqualTo(1);
        assertThat(log.queuedLines()).isEqualTo(1);
    }

    /** A store with one configuration, in which nothing changes. Watches end after their full wait. */
    private final class FakeStore implements ObjectStore {
        private Runnable beforeCall = () -> {};

        @Override
        @SuppressWarnings("unchecked")
        public <T> void list(ObjectKind<T> kind, boolean mayBeOld, Consumer<StoreResult<Listing<T>>> done) {
            beforeCall.run();
            if (kind instanceof ObjectKind.Configuration) {
                ServingConfig config = new ServingConfig(7, List.of(), Map.of(), CallLimits.DEFAULT, true, Map.of());
                T content = (T) config;
                StoredObject<T> object = new StoredObject<>("main", new StoreRevision(0, 1), Optional.of(content));
                done.accept(new StoreResult.Ok<>(new Listing<>(List.of(object), new StoreRevision(0, 1))));
            } else {
                done.accept(new StoreResult.Ok<>(new Listing<>(List.of(), new StoreRevision(0, 1))));
            }
        }

        @Override
        public <T> void watch(
                ObjectKind<T> kind, StoreRevision since, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done) {
            beforeCall.run();
            channel.eventLoop()
                    .schedule(
                            () -> done.accept(new StoreResult.Ok<>(new ChangeBatch<>(List.of(), since))),
                            waitMillis,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public <T> void write(
                ObjectKind<T> kind,
                String name,
                Optional<StoreRevision> expected,
                T content,
                Consumer<StoreResult<StoredObject<T>>> done) {
            throw new UnsupportedOperationException("this test does not expect a write");
        }
    }
}
