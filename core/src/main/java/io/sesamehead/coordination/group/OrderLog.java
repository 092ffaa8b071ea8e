package io.sesamehead.coordination.group;

import io.sesamehead.state.VmId;
import java.util.HashMap;
import java.util.Map;

/** The last order to each VM, and whether it can still take effect. */
final class OrderLog {
    private final Map<VmId, Entry> entries = new HashMap<>();
    private final long longestOrderMillis;

    OrderLog(long longestOrderMillis) {
        this.longestOrderMillis = longestOrderMillis;
    }

    void sent(long nowMillis, ControllerAction.Order order) {
        entries.put(order.vm().id(), new Entry(order.orderId(), nowMillis + longestOrderMillis, false));
    }

    /** Allows the send of the last order to a VM, unless it waited so long that it counts as settled, and dates it. */
    boolean startSend(long nowMillis, ControllerAction.Order order) {
        Entry entry = entries.get(order.vm().id());
        boolean current = entry != null
                && entry.orderId.equals(order.orderId())
                && !entry.answered
                && nowMillis < entry.settledAtMillis;
        if (current) {
            sent(nowMillis, order);
        }
        return current;
    }

    void answered(ControllerAction.Order order) {
        VmId vm = order.vm().id();
        Entry entry = entries.get(vm);
        if (entry != null && entry.orderId.equals(order.orderId())) {
            entries.put(vm, new Entry(entry.orderId, entry.settledAtMillis, true));
        }
    }

    /** Dates the answers that came in since the last step with the time of this step, which is never too early. */
    void settleAnswered(long nowMillis) {
        entries.replaceAll((vm, entry) -> entry.answered && entry.settledAtMillis > nowMillis
                ? new Entry(entry.orderId, nowMillis, true)
                : entry);
    }

    boolean inFlight(long nowMillis, VmId vm) {
        Entry entry = entries.get(vm);
        return entry != null && nowMillis < entry.settledAtMillis;
    }

    int inFlight(long nowMillis) {
        return (int) entries.values().stream()
                .filter(entry -> !entry.answered && nowMillis < entry.settledAtMillis)
                .count();
    }

    /** Tells whether an observation was made when the last order could no longer change anything. */
    boolean observedAfterOrders(long observedAtMillis, VmId vm) {
        Entry entry = entries.get(vm);
        return entry == null || observedAtMillis >= entry.settledAtMillis;
    }

    private record Entry(String orderId, long settledAtMillis, boolean answered) {}
}
