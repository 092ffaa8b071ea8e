package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.EvidencePolicy;
import io.sesamehead.coordination.dispatch.EvidenceReaction;
import io.sesamehead.coordination.dispatch.TargetEvidence;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetTable;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Watches the targets of this daemon's calls for silence, logs its beginning and end, and tells the calls. */
final class SilenceWatch {
    private final CallEnvironment environment;
    private final Map<TargetKey, SilentTarget> silentTargets = new HashMap<>();

    /** A silent target and what has been logged about it. */
    private static final class SilentTarget {
        private final long sinceMillis;
        private Set<EvidenceReaction> reactions = Set.of();

        private SilentTarget(long sinceMillis) {
            this.sinceMillis = sinceMillis;
        }
    }

    SilenceWatch(CallEnvironment environment) {
        this.environment = environment;
    }

    /** Checks all targets once. */
    void check() {
        long now = environment.clocks().steadyMillis();
        TargetTable table = environment.targetTable();
        List<TargetKey> stalled = table.findStalled(now);
        logEnded(stalled, now);
        for (TargetKey key : stalled) {
            TargetEvidence.Silence silence = table.silence(key, now);
            record(key, silence, now);
            if (silence.onlyHere() && !table.isPathLost(key, now)) {
                environment.peerForwarding().recordSilentPath(key);
            }
            environment.onSilence(key, silence);
        }
        environment.checkSuperseded();
    }

    private void logEnded(List<TargetKey> stalled, long nowMillis) {
        Iterator<Map.Entry<TargetKey, SilentTarget>> all =
                silentTargets.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<TargetKey, SilentTarget> entry = all.next();
            if (stalled.contains(entry.getKey())) {
                continue;
            }
            all.remove();
            // Without progress, the calls there have ended and nothing is known of the target.
            if (environment.targetTable().lastProgressMillis(entry.getKey()) > entry.getValue().sinceMillis) {
                environment
                        .log()
                        .write(
                                EventLog.Component.GROUP,
                                "silence-ended",
                                "target",
                                entry.getKey(),
                                "silent_ms",
                                nowMillis - entry.getValue().sinceMillis);
            }
        }
    }

    /** Logs a target that has become silent, or whose silence justifies more than before. */
    private void record(TargetKey key, TargetEvidence.Silence silence, long nowMillis) {
        SilentTarget target =
                silentTargets.computeIfAbsent(key, name -> new SilentTarget(nowMillis - silence.ownMillis()));
        Set<EvidenceReaction> reactions = EvidencePolicy.reactions(silence);
        if (target.reactions.containsAll(reactions)) {
            return;
        }
        boolean everywhereBefore = target.reactions.contains(EvidenceReaction.PREFER_OTHERS);
        boolean everywhere = reactions.contains(EvidenceReaction.PREFER_OTHERS);
        boolean lost = reactions.contains(EvidenceReaction.REPLACE);
        target.reactions = reactions;
        environment
                .log()
                .write(
                        EventLog.Component.GROUP,
                        lost ? "lost" : "silent",
                        "target",
                        key,
                        "everywhere",
                        everywhere,
                        "own_calls",
                        environment.targetTable().ownInFlight(key),
                        "own_silent_ms",
                        silence.ownMillis(),
                        "silent_ms",
                        silence.anywhereMillis(),
                        "config",
                        environment.configVersion());
        environment.metrics().count(lost ? "targets_lost" : "targets_silent");
        if (everywhere && !everywhereBefore) {
            environment.peerReporter().reportStalled(key);
        }
    }
}
