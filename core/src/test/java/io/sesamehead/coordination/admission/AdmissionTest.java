package io.sesamehead.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.admission.AdmissionDecision.Admit;
import io.sesamehead.coordination.admission.AdmissionDecision.Queue;
import io.sesamehead.coordination.admission.AdmissionDecision.Refusal;
import io.sesamehead.coordination.admission.AdmissionDecision.Refuse;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class AdmissionTest {
    private static final ClientAccount BIG = new ClientAccount("big");
    private static final ClientAccount SMALL = new ClientAccount("small");
    private static final long FAR_DEADLINE = 1_000_000;

    private static AdmissionCall call(String id, ClientAccount account, int priority, long cost, long deadline) {
        return new AdmissionCall(new RequestId(id), account, priority, cost, deadline);
    }

    private static AdmissionCall call(String id, ClientAccount account) {
        return call(id, account, 5, 100, FAR_DEADLINE);
    }

    private static RequestId id(String id) {
        return new RequestId(id);
    }

    /** Guards against sharing slots by number of calls instead of by token cost. */
    @Test
    void sharesTokensInProportionToShares() {
        Admission admission = new Admission(new AdmissionLimits(1, 400));
        admission.applyShares(ImmutableMap.of(BIG, 3));
        admission.offer(call("first", BIG), 0);
        for (int i = 0; i < 200; i++) {
            admission.offer(call("b" + i, BIG, 5, 50, FAR_DEADLINE), 0);
            admission.offer(call("s" + i, SMALL, 5, 100, FAR_DEADLINE), 0);
        }
        admission.release(id("first"), 0);

        Map<ClientAccount, Long> tokens = new HashMap<>();
        for (int i = 0; i < 150; i++) {
            AdmissionCall admitted = admission.next(0).orElseThrow();
            tokens.merge(admitted.account(), admitted.tokenCost(), Long::sum);
            admission.release(admitted.request(), 0);
        }

        assertThat((double) tokens.get(BIG) / tokens.get(SMALL)).isBetween(2.8, 3.2);
    }

    /** Guards against wasting slots on calls that their deadline cuts off. */
    @Test
    void refusesCallsThatCannotFinishInTime() {
        Admission admission = new Admission(new AdmissionLimits(1, 100));
        admission.offer(call("measured", BIG), 0);
        admission.release(id("measured"), 1_000);
        admission.offer(call("busy", BIG), 1_000);

        assertThat(admission.offer(call("late", SMALL, 5, 100, 2_900), 1_000)).isInstanceOf(Refuse.class);
        assertThat(admission.offer(call("short", SMALL, 5, 50, 2_900), 1_000)).isInstanceOf(Queue.class);
        assertThat(admission.expire(2_500)).extracting(Refusal::request).containsExactly(id("short"));
    }

    /** Guards against an account that was idle occupying all slots until its usage has caught up. */
    @Test
    void idleTimeGivesNoCredit() {
        Admission admission = new Admission(new AdmissionLimits(1, 100));
        for (int i = 0; i < 20; i++) {
            admission.offer(call("past" + i, BIG), 0);
            admission.next(0);
            admission.release(id("past" + i), 0);
        }
        admission.offer(call("busy", BIG), 0);
        for (int i = 0; i < 10; i++) {
            admission.offer(call("b" + i, BIG), 0);
            admission.offer(call("s" + i, SMALL), 0);
        }
        admission.release(id("busy"), 0);

        List<ClientAccount> order = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            AdmissionCall admitted = admission.next(0).orElseThrow();
            order.add(admitted.account());
            admission.release(admitted.request(), 0);
        }

        assertThat(order.stream().filter(BIG::equals)).hasSize(3);
    }

    @Test
    void higherPriorityRunsFirstWithinAnAccount() {
        Admission admission = new Admission(new AdmissionLimits(1, 10));
        admission.offer(call("running", BIG), 0);
        admission.offer(call("low", BIG, 0, 1, FAR_DEADLINE), 0);
        admission.offer(call("high", BIG, 9, 1, FAR_DEADLINE), 0);
        admission.release(id("running"), 0);

        assertThat(admission.next(0).orElseThrow().request()).isEqualTo(id("high"));
        assertThat(admission.next(0)).isEmpty();
    }

    /** Guards against a call waiting for a slot that cannot become free before its deadline. */
    @Test
    void refusesCallWhoseEstimatedWaitExceedsDeadline() {
        Admission admission = new Admission(new AdmissionLimits(1, 10));
        admission.offer(call("measured", BIG), 0);
        admission.release(id("measured"), 2_000);
        admission.offer(call("running", BIG), 2_000);

        AdmissionDecision soon = admission.offer(call("soon", BIG, 5, 1, 3_500), 2_000);
        AdmissionDecision later = admission.offer(call("later", BIG, 5, 1, 4_500), 2_000);

        assertThat(soon).isInstanceOfSatisfying(Refuse.class, refuse -> {
            assertThat(refuse.kind()).isEqualTo(ErrorKind.DEADLINE_BEFORE_RUN);
            assertThat(refuse.retryAfterMillis()).isGreaterThanOrEqualTo(1_000);
        });
        assertThat(later)
                .isInstanceOfSatisfying(
                        Queue.class,
                        queue -> assertThat(queue.estimatedWaitMillis()).isEqualTo(2_000));
    }

    /** Guards against never answering a call that expires between next and expire. */
    @Test
    void refusesExpiredCallOnce() {
        Admission admission = new Admission(new AdmissionLimits(1, 10));
        admission.offer(call("running", BIG), 0);
        admission.offer(call("waiting", BIG, 5, 1, 500), 0);
        admission.release(id("running"), 600);

        assertThat(admission.next(600)).isEmpty();
        assertThat(admission.expire(600)).extracting(Refusal::request).containsExactly(id("waiting"));
        assertThat(admission.expire(600)).isEmpty();
    }

    /** Guards against one account filling the queue and starving the others. */
    @Test
    void fullQueueDisplacesAccountWithMostPlaces() {
        Admission admission = new Admission(new AdmissionLimits(1, 2));
        admission.offer(call("running", BIG), 0);
        admission.offer(call("b1", BIG), 0);
        admission.offer(call("b2", BIG), 0);

        AdmissionDecision small = admission.offer(call("s1", SMALL), 0);

        assertThat(small)
                .isInstanceOfSatisfying(
                        Queue.class,
                        queue -> assertThat(queue.displaced())
                                .hasValueSatisfying(
                                        refusal -> assertThat(refusal.request()).isEqualTo(id("b2"))));
        assertThat(admission.offer(call("b3", BIG), 0)).isInstanceOf(Refuse.class);
        assertThat(admission.offer(call("s2", SMALL), 0)).isInstanceOf(Refuse.class);
    }

    @Test
    void refusesDuplicateIdAndCallsAfterClose() {
        Admission admission = new Admission(new AdmissionLimits(2, 2));
        admission.offer(call("same", BIG), 0);

        assertThat(admission.offer(call("same", SMALL), 0)).isEqualTo(new Refuse(ErrorKind.BAD_HEADER, 0));
        admission.close();
        assertThat(admission.offer(call("new", SMALL), 0))
                .isInstanceOfSatisfying(
                        Refuse.class, refuse -> assertThat(refuse.kind()).isEqualTo(ErrorKind.SHUTTING_DOWN));
        assertThat(admission.release(id("same"), 0)).isTrue();
    }

    /** Guards against refused callers retrying in the same second. */
    @Test
    void retryTimesAreSpread() {
        Admission admission = new Admission(new AdmissionLimits(1, 1));
        Set<Long> seconds = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            seconds.add(admission.retryAfterMillis(id("r" + i)) / 100);
        }

        assertThat(seconds).hasSizeGreaterThan(5).allMatch(tenth -> tenth >= 10 && tenth < 20);
    }

    /** Randomized: each call is answered exactly once, and the limits hold at every step. */
    @Test
    void answersEachCallExactlyOnce() {
        for (int seed = 0; seed < 200; seed++) {
            new RandomRun(new Random(seed)).run();
        }
    }

    private static final class RandomRun {
        private final Random random;
        private final Admission admission = new Admission(new AdmissionLimits(3, 5));
        private final List<RequestId> running = new ArrayList<>();
        private final Set<RequestId> waiting = new HashSet<>();

        private RandomRun(Random random) {
            this.random = random;
        }

        private void run() {
            long now = 0;
            for (int step = 0; step < 300; step++) {
                now += random.nextInt(50);
                switch (random.nextInt(4)) {
                    case 0, 1 -> offer("r" + step, now);
                    case 2 -> endOne(now);
                    default -> admission.expire(now).forEach(refusal -> leave(refusal.request()));
                }
                assertThat(admission.running()).isEqualTo(running.size()).isLessThanOrEqualTo(3);
                assertThat(admission.waiting()).isLessThanOrEqualTo(5);
            }
            admission.expire(now + FAR_DEADLINE).forEach(refusal -> leave(refusal.request()));
            assertThat(waiting).isEmpty();
        }

        private void offer(String id, long now) {
            ClientAccount account = new ClientAccount("a" + random.nextInt(3));
            long deadline = now + 1 + random.nextInt(400);
            AdmissionCall call = call(id, account, random.nextInt(10), 1 + random.nextInt(100), deadline);
            switch (admission.offer(call, now)) {
                case Admit ignored -> running.add(call.request());
                case Queue queue -> {
                    waiting.add(call.request());
                    queue.displaced().ifPresent(refusal -> leave(refusal.request()));
                }
                case Refuse ignored -> {}
            }
        }

        private void endOne(long now) {
            if (running.isEmpty()) {
                return;
            }
            RequestId ended = running.remove(random.nextInt(running.size()));
            assertThat(admission.release(ended, now)).isTrue();
            assertThat(admission.release(ended, now)).isFalse();
            admission.next(now).ifPresent(call -> {
                assertThat(call.deadlineMillis()).isGreaterThan(now);
                leave(call.request());
                running.add(call.request());
            });
        }

        private void leave(RequestId request) {
            assertThat(waiting.remove(request)).isTrue();
        }
    }
}
