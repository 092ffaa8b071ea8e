package io.sesamehead.proof.fleet;

import io.sesamehead.proof.FakeStore.VersionedValue;
import io.sesamehead.proof.Invariant;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.Generation;
import io.sesamehead.state.WriteToken;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Follows from outside which changes the store applied, and compares that with what the operators claim. A store that
 * went back to an older copy forgets acceptances, so claims are judged only within one history of the store.
 */
final class ReleaseHistoryChecker {
    private final SimulationContext context;
    private final Set<WriteToken> applied = new HashSet<>();
    private final Map<Generation, WriteToken> tokensByGeneration = new HashMap<>();
    private final List<Operator.Change> refused = new ArrayList<>();
    private long lastRestoreMillis = -1;
    private int acceptedCount;

    ReleaseHistoryChecker(SimulationContext sim) {
        this.context = sim;
    }

    /** Reads the tokens of the last writers; called more often than that list can overflow. */
    void observe() {
        Optional<VersionedValue> object = context.store().peek(ReleaseFactory.OBJECT);
        if (object.isEmpty()) {
            return;
        }
        StoredObject value = StoredObject.from(object.get());
        long generation = ((AcceptedRelease) value.content()).generation().value();
        for (WriteToken token : value.history()) {
            if (applied.add(token)) {
                WriteToken other = tokensByGeneration.putIfAbsent(new Generation(generation), token);
                check(other == null, "two changes were accepted as generation " + generation);
            }
            generation--;
        }
    }

    void beforeRestore() {
        observe();
        tokensByGeneration.clear();
        lastRestoreMillis = context.nowMillis();
    }

    void checkClaim(Operator.Change change, Operator.Claim claim) {
        observe();
        if (change.startedMillis() <= lastRestoreMillis) {
            return;
        }
        switch (claim) {
            case ACCEPTED -> {
                acceptedCount++;
                check(applied.contains(change.token()), "claimed as accepted but not applied: " + change);
            }
            case NOT_ACCEPTED -> {
                check(!applied.contains(change.token()), "claimed as refused but applied: " + change);
                refused.add(change);
            }
            case NOT_KNOWN -> {}
        }
    }

    /** Checks that no refused change was applied afterwards. */
    void finish() {
        observe();
        refused.forEach(
                change -> check(!applied.contains(change.token()), "claimed as refused but applied later: " + change));
    }

    int acceptedCount() {
        return acceptedCount;
    }

    private void check(boolean holds, String detail) {
        context.record().check(holds, Invariant.CONFIG, context.nowMillis(), detail);
    }
}
