package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.DepartedTargets;
import io.sesamehead.coordination.dispatch.RefusedConnections;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetEvidence;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetSurvival;
import io.sesamehead.state.Endpoint;
import java.util.Set;

/**
 * Gathers what the registry and refused connections show of targets that calls were lost at: that they crashed, or that
 * they went on, so that an answer was lost. Confined to the event loop.
 */
final class CrashEvidence {
    /** Interval at which all known crashes are judged, in milliseconds: a small part of the time that the proof takes. */
    private static final long REFUTATION_INTERVAL_MILLIS = 250;

    private final CallEnvironment environment;
    private final UpstreamRegistry registry;
    private final CrashHistory history;
    private final TargetSurvival survival;
    private final RefusedConnections refusedConnections;
    private final DepartedTargets departedTargets = new DepartedTargets();
    private long refutedAtMillis = Long.MIN_VALUE / 2;

    CrashEvidence(
            CallEnvironment environment,
            UpstreamRegistry registry,
            CrashHistory history,
            TargetSurvival survival,
            RefusedConnections refusedConnections) {
        this.environment = environment;
        this.registry = registry;
        this.history = history;
        this.survival = survival;
        this.refusedConnections = refusedConnections;
    }

    /** Handles a change of the registry or of the configuration. */
    void onFleetChange(Set<TargetKey> servingKeys) {
        survival.observe(servingKeys, registry.entries(), now());
        departedTargets.update(servingKeys, registry.entries(), now()).forEach(environment::onTargetEvidence);
    }

    /** Handles a refused connection. */
    void onConnectionRefused(Endpoint peer) {
        for (Target target : environment.fleet().servingTargets()) {
            if (target.upstream().endpoint().equals(peer)) {
                refusedConnections.recordRefused(target.key(), now());
                environment.onTargetEvidence(target.key(), new TargetEvidence.ConnectionRefused());
            }
        }
    }

    /** Handles a restore of the store, which may list upstreams that have ended. */
    void onStoreRestored() {
        survival.recordRestore(now());
    }

    /** Takes back crashes that were counted for lost answers of targets that have gone on. */
    void refuteCrashes() {
        survival.recordListed(registry.answeredAtMillis());
        if (now() - refutedAtMillis < REFUTATION_INTERVAL_MILLIS) {
            return;
        }
        refutedAtMillis = now();
        for (CrashHistory.Refutation refutation :
                history.refuteCrashes(survival, environment.targetTable()::lastProgressMillis, now())) {
            environment.metrics().count("crashes_refuted");
            environment
                    .log()
                    .write(
                            EventLog.Component.CALL,
                            "crash-refuted",
                            "request",
                            refutation.subject(),
                            "crashes",
                            refutation.crashesLeft(),
                            "known_ms",
                            refutation.learnedMillisAgo());
        }
    }

    private long now() {
        return environment.clocks().steadyMillis();
    }
}
