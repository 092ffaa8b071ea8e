package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.admission.SlotDecision;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.entry.port.CallMetadata;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Writes the log lines and counts the metrics of one call. */
final class CallLog {
    private final CallEnvironment environment;
    private final CallMetadata facts;
    private final Route route;
    private final long arrivedAtMillis;
    private OptionalLong firstSentAtMillis = OptionalLong.empty();
    private OptionalLong lastSentAtMillis = OptionalLong.empty();
    /** Time from the send of the attempt that began the answer until then, in milliseconds. */
    private OptionalLong answerBegunAfterMillis = OptionalLong.empty();

    CallLog(CallEnvironment environment, CallMetadata facts, Route route, long arrivedAtMillis) {
        this.environment = environment;
        this.facts = facts;
        this.route = route;
        this.arrivedAtMillis = arrivedAtMillis;
    }

    void sent(int attempt, Target target, long expectedMillis, Optional<String> lastEventId) {
        recordSent();
        write(
                "sent",
                "attempt",
                attempt,
                "target",
                target.key(),
                "upstream",
                target.upstream().id(),
                "load",
                environment.targetTable().inFlight(target.key()),
                "expected_ms",
                expectedMillis,
                "after",
                lastEventId.orElse("-"),
                "config",
                environment.configVersion(),
                "registry_age_ms",
                environment.registryAgeMillis());
    }

    void passedOn(int attempt, Target peer, Optional<String> lastEventId) {
        recordSent();
        environment.metrics().count("calls_passed_on");
        write("passed-on", "attempt", attempt, "peer", peer.key(), "after", lastEventId.orElse("-"));
    }

    private void recordSent() {
        lastSentAtMillis = OptionalLong.of(environment.clocks().steadyMillis());
        if (firstSentAtMillis.isEmpty()) {
            firstSentAtMillis = lastSentAtMillis;
        }
    }

    /** Records that the first event of a stream, or a complete answer, has come from an upstream. */
    void answerBegun() {
        if (answerBegunAfterMillis.isEmpty() && lastSentAtMillis.isPresent()) {
            answerBegunAfterMillis =
                    OptionalLong.of(environment.clocks().steadyMillis() - lastSentAtMillis.getAsLong());
        }
    }

    void secondAttempt(TargetKey silent, Optional<String> lastEventId) {
        write("second-attempt", "target", silent, "after", lastEventId.orElse("-"));
    }

    void attemptWon(Target target, Optional<String> lastEventId) {
        write("attempt-won", "target", target.key(), "after", lastEventId.orElse("-"));
    }

    void attemptEnded(Target target, int status) {
        write("attempt-ended", "target", target.key(), "status", status);
    }

    void attemptLost(Target target, boolean sent, boolean begun, int events, String reason) {
        environment.metrics().count("attempts_broken");
        write(
                "attempt-lost",
                "target",
                target.key(),
                "sent",
                sent,
                "begun",
                begun,
                "events",
                events,
                "parts",
                facts.sharedPromptParts(),
                "reason",
                reason);
    }

    void crashCounted(Target target, CrashSubject subject, int crashes) {
        environment.metrics().count("crashes_counted");
        write("crash-counted", "target", target.key(), "request", subject, "crashes", crashes);
    }

    void notAdmitted(int rank, SlotDecision.Refuse refuse) {
        write("not-admitted", "rank", rank, "account_over", refuse.accountOver(), "fraction", refuse.fraction());
    }

    void attemptRefused(Target target, int status) {
        environment.metrics().count("attempts_refused_by_upstream");
        write("attempt-refused", "target", target.key(), "status", status);
    }

    void ended(int status, int attempts) {
        countOutcome(status / 100 + "xx");
        write(
                "ended",
                "status",
                status,
                "took_ms",
                tookMillis(),
                "send_ms",
                firstSentAtMillis.orElse(arrivedAtMillis) - arrivedAtMillis,
                "again_ms",
                lastSentAtMillis.orElse(0) - firstSentAtMillis.orElse(0),
                "upstream_ms",
                answerBegunAfterMillis.orElse(-1),
                "attempts",
                attempts);
    }

    void failed(String outcome, String reason, List<TargetKey> triedTargets, int attemptsRun) {
        countOutcome(outcome);
        write(
                "failed",
                "end",
                outcome,
                "reason",
                reason,
                "route",
                route.name(),
                "kind",
                route.kind(),
                "took_ms",
                tookMillis(),
                "attempts",
                triedTargets,
                "ran",
                attemptsRun,
                "config",
                environment.configVersion(),
                "registry_age_ms",
                environment.registryAgeMillis());
    }

    private void countOutcome(String outcome) {
        environment.metrics().count("calls_ended{kind=\"" + route.kind() + "\",end=\"" + outcome + "\"}");
    }

    private long tookMillis() {
        return environment.clocks().steadyMillis() - arrivedAtMillis;
    }

    private void write(String event, Object... fields) {
        Object[] all = new Object[fields.length + 2];
        all[0] = "id";
        all[1] = facts.requestId();
        System.arraycopy(fields, 0, all, 2, fields.length);
        environment.log().write(EventLog.Component.CALL, event, all);
    }
}
