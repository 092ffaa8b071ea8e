package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.evacuation.Evacuations;
import io.sesamehead.coordination.store.StoreHistory;
import io.sesamehead.entry.protocol.generated.StoreView;
import io.sesamehead.state.FailureDomain;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against calls to an evacuated failure domain after its time limit, against an evacuation that ends without proof,
 * and against daemons that all ask the store.
 */
final class EvacuationWatchTest {
    private static final long STEP_MILLIS = 10;
    private static final long REPORT_MILLIS = 180;
    /** Time limit for an evacuation to take effect, in milliseconds. */
    private static final long LIMIT_MILLIS = 5_000;
    /** Time for an answer of the fake store and the delays of a watch, in milliseconds. */
    private static final long SOON_MILLIS = 200;

    private static final FailureDomain A = new FailureDomain("a");
    private static final FailureDomain B = new FailureDomain("b");

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeClocks clocks = new FakeClocks(1_000_000);
    private final EvacuationStore.Contents contents = new EvacuationStore.Contents();
    private TestDaemon relay;
    private TestDaemon follower;
    private boolean relaySilent;
    private boolean relayOfFormerBuild;
    /** Every n-th report is lost; 0 for none. */
    private int lostReports;

    private int reports;
    private long stampMillis;

    private final class TestDaemon {
        private final Evacuations evacuations = new Evacuations();
        private final StoreHistory history = new StoreHistory();
        private final EvacuationStore store;
        private final EvacuationWatch watch;
        private final CachedStoreViewExchange storeViews;
        private int changes;
        private boolean servesOthers;

        private TestDaemon(OptionalLong limitMillis) {
            store = new EvacuationStore(contents, clocks, channel.eventLoop(), era -> onEra(era));
            PresentHistoryStore present = new PresentHistoryStore(store, history, channel.eventLoop());
            EventLog log = new EventLog(clocks);
            watch = new EvacuationWatch(
                    channel.eventLoop(),
                    clocks,
                    present,
                    evacuations,
                    limitMillis,
                    () -> servesOthers,
                    log,
                    () -> changes++);
            ActiveConfig activeConfig = new ActiveConfig(3_600);
            storeViews = new CachedStoreViewExchange(
                    clocks,
                    activeConfig,
                    new ConfigWatch(channel.eventLoop(), clocks, present, activeConfig, 2_000, log, () -> {}),
                    new RegistryWatch(
                            channel.eventLoop(),
                            clocks,
                            present,
                            new UpstreamRegistry(1_200),
                            2_000,
                            log,
                            () -> {},
                            () -> false,
                            () -> false,
                            new SplittableRandom(1)),
                    watch,
                    history,
                    log);
        }

        private void onEra(long era) {
            if (history.record(era)) {
                watch.onStoreRestored();
            }
        }

        private boolean evacuated(FailureDomain domain) {
            return evacuations.isEvacuated(domain);
        }
    }

    private TestDaemon started(boolean servesOthers) {
        TestDaemon daemon = new TestDaemon(OptionalLong.of(LIMIT_MILLIS));
        daemon.servesOthers = servesOthers;
        daemon.watch.start();
        return daemon;
    }

    @BeforeEach
    void startTwo() {
        channel.freezeTime();
        relay = started(true);
        follower = started(false);
        run(3_000);
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clocks.now += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            relay.store.answerDue();
            follower.store.answerDue();
            if (clocks.now % REPORT_MILLIS < STEP_MILLIS) {
                report();
            }
        }
    }

    /** The relay returns a stamp that it got with the follower's previous report. */
    private void report() {
        reports++;
        boolean lost = lostReports > 0 && reports % lostReports == 0;
        if (!relaySilent && !lost) {
            follower.storeViews.apply(relayView(), stampMillis);
        }
        stampMillis = clocks.now - STEP_MILLIS;
    }

    private StoreView relayView() {
        StoreView view = relay.storeViews.view();
        return relayOfFormerBuild
                ? view.toBuilder()
                        .clearEvacuationsKnown()
                        .clearEvacuationsRevision()
                        .clearEvacuationsAgeMillis()
                        .clearEvacuated()
                        .build()
                : view;
    }

    @Test
    void beginsAndEnds() {
        contents.put("b");
        run(SOON_MILLIS);

        assertThat(relay.evacuated(B)).isTrue();
        assertThat(relay.evacuated(A)).isFalse();
        assertThat(relay.changes).isEqualTo(1);
        run(REPORT_MILLIS);
        assertThat(follower.evacuated(B)).isTrue();
        contents.remove("b");
        run(SOON_MILLIS + REPORT_MILLIS);
        assertThat(relay.evacuated(B)).isFalse();
        assertThat(follower.evacuated(B)).isFalse();
        assertThat(follower.evacuations.endedAtMillis(B).orElse(0)).isBetween(clocks.now - 500, clocks.now);
        assertThat(follower.evacuations.endedAtMillis(A)).isEmpty();
    }

    /** Guards against a domain that is taken as free, or as warm, because its evacuation was renewed quickly. */
    @ParameterizedTest
    @ValueSource(longs = {0, 30, 300, 900})
    void endedAndBegunAgainWithinSecondIsInForce(long pauseMillis) {
        contents.put("b");
        run(1_000);
        long removedAtMillis = clocks.now;
        contents.remove("b");
        run(pauseMillis);
        contents.put("b");
        run(SOON_MILLIS + REPORT_MILLIS);

        assertThat(relay.evacuated(B)).isTrue();
        assertThat(follower.evacuated(B)).isTrue();
        assertThat(relay.evacuations.endedAtMillis(B).orElse(0)).isGreaterThanOrEqualTo(removedAtMillis);
    }

    /** Guards against upstreams taken for warm after an evacuation that began and ended between two answers. */
    @Test
    void endOfShortEvacuationIsKept() {
        contents.put("b");
        contents.remove("b");
        run(SOON_MILLIS);

        assertThat(relay.evacuated(B)).isFalse();
        assertThat(relay.evacuations.endedAtMillis(B)).isPresent();
    }

    @Test
    void entryWithUnreadableContentIsInForce() {
        contents.putUnreadable("b");
        run(SOON_MILLIS);
        TestDaemon later = started(true);
        runAlone(later, SOON_MILLIS);

        assertThat(relay.evacuated(B)).isTrue();
        assertThat(later.evacuated(B)).isTrue();
    }

    @Test
    void nameWithoutUpstreamsChangesNothing() {
        contents.put("nowhere");
        run(SOON_MILLIS);

        assertThat(relay.evacuated(A)).isFalse();
        assertThat(relay.evacuated(B)).isFalse();
    }

    /** Guards against changes that are skipped because of one whose name cannot be read. */
    @Test
    void entryWithoutNameKeepsNoOtherFromBeingRead() {
        contents.put("");
        contents.put("b");
        run(SOON_MILLIS);

        assertThat(relay.evacuated(B)).isTrue();
        int before = relay.store.calls;
        run(8_000);
        assertThat(relay.store.calls - before).isLessThan(6);
    }

    @Test
    void listsAgainAfterHistoryExpired() {
        contents.put("b");
        contents.expireHistory();
        run(2_000 + 2 * SOON_MILLIS);
        assertThat(relay.evacuated(B)).isTrue();
        contents.remove("b");
        contents.expireHistory();
        run(2_000 + 2 * SOON_MILLIS);

        assertThat(relay.evacuated(B)).isFalse();
        assertThat(relay.store.lists).isEqualTo(3);
    }

    @Test
    void relayTellsDaemonThatStoreRefuses() {
        follower.store.refusing = true;
        run(10_000);
        contents.put("b");
        run(SOON_MILLIS + REPORT_MILLIS);
        assertThat(follower.evacuated(B)).isTrue();
        contents.remove("b");
        run(SOON_MILLIS + REPORT_MILLIS);

        assertThat(follower.evacuated(B)).isFalse();
    }

    /** Guards against the silence of a former build that counts as a state without evacuations. */
    @Test
    void relayOfFormerBuildTellsNothing() {
        relayOfFormerBuild = true;
        contents.put("b");
        run(LIMIT_MILLIS);

        assertThat(follower.evacuated(B)).isTrue();
        int before = follower.store.calls;
        run(10_000);
        assertThat(follower.evacuated(B)).isTrue();
        assertThat(follower.store.calls - before).isBetween(4, 7);
    }

    @Test
    void asksStoreWithinHalfOfLimitAfterRelayFellSilent() {
        run(5_000);
        relaySilent = true;
        long silentAtMillis = clocks.now;
        int before = follower.store.calls;
        contents.put("b");
        run(LIMIT_MILLIS / 2);

        assertThat(follower.store.calls).isGreaterThan(before);
        run(SOON_MILLIS);
        assertThat(follower.evacuated(B)).isTrue();
        assertThat(clocks.now - silentAtMillis).isLessThan(LIMIT_MILLIS);
    }

    /** Guards against a new relay that waits for the confirmation of the former one to expire, and all others with it. */
    @Test
    void daemonThatServesOthersAsksStoreAtOnce() {
        run(5_000);
        relaySilent = true;
        follower.servesOthers = true;
        contents.put("b");
        run(2 * SOON_MILLIS);

        assertThat(follower.evacuated(B)).isTrue();
    }

    /** Guards against daemons that trust a relay whose own connection to the store has gone silent. */
    @Test
    void asksStoreWhenRelayHasLostIt() {
        run(5_000);
        relay.store.refusing = true;
        relay.store.silent = true;
        contents.put("b");
        run(LIMIT_MILLIS);

        assertThat(relay.evacuated(B)).isFalse();
        assertThat(follower.evacuated(B)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 5, 2})
    void relayReportsReplaceStoreCalls(int everyLost) {
        lostReports = everyLost;
        int before = follower.store.calls;
        for (int i = 0; i < 10; i++) {
            contents.put("b");
            run(7_300);
            contents.remove("b");
            run(1_900);
        }

        assertThat(follower.store.calls - before).isZero();
        assertThat(relay.store.calls).isBetween(40, 120);
    }

    /** Guards against an evacuation that ends by age when a daemon is cut off from all others. */
    @Test
    void keepsLastKnownStateHoweverOld() {
        contents.put("b");
        run(1_000);
        relaySilent = true;
        follower.store.refusing = true;
        run(60_000);

        assertThat(follower.evacuated(B)).isTrue();
        assertThat(follower.evacuated(A)).isFalse();
        assertThat(follower.watch.ageMillis()).isGreaterThan(55_000);
    }

    /** Guards against calls that a daemon sends before it has read the evacuations, and against one that never serves. */
    @Test
    void newDaemonSendsNothingUntilItHasListed() {
        contents.put("b");
        TestDaemon later = started(false);
        assertThat(later.store.lists).isEqualTo(1);
        assertThat(later.evacuated(A)).isTrue();
        runAlone(later, SOON_MILLIS);
        assertThat(later.evacuated(A)).isFalse();
        assertThat(later.evacuated(B)).isTrue();

        TestDaemon refused = new TestDaemon(OptionalLong.of(LIMIT_MILLIS));
        refused.store.refusing = true;
        refused.watch.start();
        runAlone(refused, LIMIT_MILLIS - SOON_MILLIS);
        assertThat(refused.evacuated(A)).isTrue();
        runAlone(refused, 2 * SOON_MILLIS);
        assertThat(refused.evacuated(A)).isFalse();
        assertThat(refused.evacuations.isKnown()).isFalse();
        assertThat(refused.storeViews.view().getEvacuationsKnown()).isFalse();
    }

    private void runAlone(TestDaemon daemon, long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            run(STEP_MILLIS);
            daemon.store.answerDue();
        }
    }

    /** Guards against a listing of the time before the evacuation that ends what a relay has told meanwhile. */
    @Test
    void olderListingDoesNotEndRelayedEvacuation() {
        TestDaemon later = new TestDaemon(OptionalLong.of(LIMIT_MILLIS));
        later.store.holdAnswers = true;
        later.watch.start();
        runAlone(later, 2 * SOON_MILLIS);
        contents.put("b");
        run(SOON_MILLIS);
        later.storeViews.apply(relay.storeViews.view(), clocks.now);
        assertThat(later.evacuated(B)).isTrue();
        later.store.holdAnswers = false;
        for (int i = 0; i < 200; i++) {
            runAlone(later, STEP_MILLIS);
            assertThat(later.evacuated(B)).isTrue();
        }
    }

    /** Guards against state of an older revision, or of an age that was not yet known, that replaces a newer one. */
    @Test
    void olderRelayedStateReplacesNothing() {
        contents.put("b");
        run(1_000);
        StoreView before = relay.storeViews.view();
        contents.remove("b");
        run(1_000);
        relaySilent = true;
        follower.storeViews.apply(before, clocks.now - 10);
        assertThat(follower.evacuated(B)).isFalse();
        StoreView current = relay.storeViews.view();
        long age = follower.watch.ageMillis();
        follower.storeViews.apply(current, clocks.now + 60_000);
        follower.storeViews.apply(
                current.toBuilder().setEvacuationsAgeMillis(-60_000).build(), clocks.now);

        assertThat(follower.watch.ageMillis()).isEqualTo(age);
    }

    /** Guards against numbers of the ended history: the copy's revisions lie below those that the daemons know. */
    @Test
    void restoredStoreIsReadAgain() {
        contents.put("a");
        run(1_000);
        EvacuationStore.Copy copy = contents.copy();
        contents.remove("a");
        contents.put("b");
        for (int i = 0; i < 10; i++) {
            contents.put("other" + i);
        }
        run(3_000);
        StoreView ended = relay.storeViews.view();
        contents.restore(copy);
        run(2_000 + 2 * SOON_MILLIS);

        assertThat(relay.evacuated(A)).isTrue();
        assertThat(relay.evacuated(B)).isFalse();
        run(LIMIT_MILLIS);
        assertThat(follower.evacuated(A)).isTrue();
        assertThat(follower.evacuated(B)).isFalse();
        follower.storeViews.apply(ended, clocks.now);
        assertThat(follower.evacuated(B)).isFalse();
        contents.remove("a");
        run(SOON_MILLIS + REPORT_MILLIS);
        assertThat(relay.evacuated(A)).isFalse();
        assertThat(follower.evacuated(A)).isFalse();
    }

    /** Guards against a daemon that waits for its pending watch, which the restored store may not answer. */
    @Test
    void listsAtOnceWhenRestoreIsKnown() {
        contents.put("b");
        run(1_000);
        relay.store.silent = true;
        EvacuationStore.Copy copy = contents.copy();
        contents.restore(copy);
        contents.remove("b");
        relay.onEra(1);
        run(SOON_MILLIS);

        assertThat(relay.evacuated(B)).isFalse();
    }

    /** Guards against a wrong era of a daemon that ends an evacuation and makes later answers look old. */
    @Test
    void relayedStateOfOtherEraIsIgnored() {
        contents.put("b");
        run(1_000);
        follower.storeViews.apply(
                StoreView.newBuilder()
                        .setStoreEra(9)
                        .setEvacuationsKnown(true)
                        .setEvacuationsRevision(1_000)
                        .build(),
                clocks.now - 10);

        assertThat(follower.evacuated(B)).isTrue();
    }

    /** Guards against a restore that counts as proof of an end before the store has been read again. */
    @Test
    void restoreAloneEndsNothing() {
        contents.put("b");
        run(1_000);
        relay.store.refusing = true;
        relay.onEra(1);
        run(20_000);

        assertThat(relay.evacuated(B)).isTrue();
        assertThat(relay.storeViews.view().getEvacuationsKnown()).isFalse();
    }

    /** Guards against a store that lost its last changes without saying so. */
    @Test
    void laterListingWithLowerRevisionCounts() {
        EvacuationStore.Copy copy = contents.copy();
        contents.put("b");
        run(1_000);
        contents.loseChangesSince(copy);
        run(2_000 + 3 * SOON_MILLIS);

        assertThat(relay.evacuated(B)).isFalse();
    }

    /** Guards against a datagram that is too large, and against part of the state that counts as all of it. */
    @Test
    void tellsNothingOfTooManyEvacuations() {
        for (int i = 0; i < 65; i++) {
            contents.put("d" + i);
        }
        run(1_000);
        assertThat(relay.storeViews.view().getEvacuationsKnown()).isFalse();
        run(LIMIT_MILLIS);
        assertThat(follower.evacuations.evacuated()).hasSize(65);
        contents.remove("d0");
        contents.remove("d1");
        run(LIMIT_MILLIS);
        assertThat(relay.storeViews.view().getEvacuatedList()).hasSize(63);
        contents.put("x".repeat(2_000));
        run(1_000);
        assertThat(relay.storeViews.view().getEvacuationsKnown()).isFalse();
    }

    /** Guards against store calls, and against a daemon that waits, in a deployment without evacuations. */
    @Test
    void doesNothingWithoutTimeLimit() {
        contents.put("b");
        TestDaemon other = new TestDaemon(OptionalLong.empty());
        other.watch.start();
        runAlone(other, 10_000);
        other.storeViews.apply(relay.storeViews.view(), clocks.now);
        other.watch.onStoreRestored();
        runAlone(other, 1_000);

        assertThat(other.store.calls).isZero();
        assertThat(other.evacuated(B)).isFalse();
        assertThat(other.storeViews.view().getEvacuationsKnown()).isFalse();
        assertThat(Optional.of(other.evacuations)).get().matches(known -> !known.isAwaited());
    }

    @Test
    void keepsOneWatchAfterRestores() {
        for (int restore = 0; restore < 5; restore++) {
            contents.restore(contents.copy());
            relay.onEra(contents.era());
            run(50);
        }
        run(4_000);
        int before = relay.store.calls;
        run(10_000);

        assertThat(relay.store.calls - before).isBetween(6, 7);
    }
}
