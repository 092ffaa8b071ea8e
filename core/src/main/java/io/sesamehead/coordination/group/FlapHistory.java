package io.sesamehead.coordination.group;

import io.sesamehead.state.Evidence;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.VmId;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Counts how often each VM was lost or restarted in the last minutes, so that packing prefers steady VMs. */
final class FlapHistory {
    /** A VM that was steady for ten minutes counts as steady. */
    private static final long WINDOW_MILLIS = 600_000;
    /** More faults than this make no difference to the choice. */
    private static final int MAX_FAULTS = 16;

    private final Map<VmId, VmHistory> histories = new HashMap<>();

    void observe(long nowMillis, Map<VmId, Evidence> evidence) {
        histories.keySet().retainAll(evidence.keySet());
        evidence.forEach((vm, it) ->
                histories.computeIfAbsent(vm, unused -> new VmHistory()).observe(nowMillis, engine(it)));
    }

    int recentFaults(long nowMillis, VmId vm) {
        VmHistory entry = histories.get(vm);
        return entry == null ? 0 : entry.faults(nowMillis);
    }

    private static Optional<Incarnation> engine(Evidence evidence) {
        return switch (evidence) {
            case Evidence.Reported reported -> Optional.of(reported.report().engine());
            case Evidence.Unreachable unreachable -> Optional.empty();
        };
    }

    private static final class VmHistory {
        private final ArrayDeque<Long> faultMillis = new ArrayDeque<>();
        private Optional<Incarnation> last = Optional.empty();
        private boolean reachable;

        void observe(long nowMillis, Optional<Incarnation> engine) {
            boolean lost = reachable && engine.isEmpty();
            boolean restarted = engine.isPresent() && last.isPresent() && !engine.equals(last);
            if (lost || restarted) {
                faultMillis.addLast(nowMillis);
            }
            if (faultMillis.size() > MAX_FAULTS) {
                faultMillis.removeFirst();
            }
            reachable = engine.isPresent();
            last = engine.isPresent() ? engine : last;
        }

        int faults(long nowMillis) {
            while (!faultMillis.isEmpty() && nowMillis - faultMillis.getFirst() > WINDOW_MILLIS) {
                faultMillis.removeFirst();
            }
            return faultMillis.size();
        }
    }
}
