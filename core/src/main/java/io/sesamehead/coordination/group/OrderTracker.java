package io.sesamehead.coordination.group;

import io.sesamehead.state.VmId;
import java.util.HashMap;
import java.util.Map;

/** The last order to each VM, and whether it can still take effect. */
final class OrderTracker {
    private final Map<VmId, LastOrder> lastOrders = new HashMap<>();
    private final long longestOrderMillis;

    OrderTracker(long longestOrderMillis) {
        this.longestOrderMillis = longestOrderMillis;
    }

    void recordSent(long nowMillis, ControllerAction.Order order) {
        lastOrders.put(order.vm().id(), new LastOrder(order.orderId(), nowMillis + longestOrderMillis, false));
    }

    /** Allows the send of the last order to a VM, unless it waited so long that it counts as settled, and dates it. */
    boolean startSend(long nowMillis, ControllerAction.Order order) {
        LastOrder entry = lastOrders.get(order.vm().id());
        boolean current = entry != null
                && entry.orderId.equals(order.orderId())
                && !entry.answered
                && nowMillis < entry.settledAtMillis;
        if (current) {
            recordSent(nowMillis, order);
        }
        return current;
    }

    void recordAnswered(ControllerAction.Order order) {
        VmId vm = order.vm().id();
        LastOrder entry = lastOrders.get(vm);
        if (entry != null && entry.orderId.equals(order.orderId())) {
            lastOrders.put(vm, new LastOrder(entry.orderId, entry.settledAtMillis, true));
        }
    }

    /** Dates the answers that came in since the last step with the time of this step, which is never too early. */
    void settleAnswered(long nowMillis) {
        lastOrders.replaceAll((vm, entry) -> entry.answered && entry.settledAtMillis > nowMillis
                ? new LastOrder(entry.orderId, nowMillis, true)
                : entry);
    }

    boolean inFlight(long nowMillis, VmId vm) {
        LastOrder entry = lastOrders.get(vm);
        return entry != null && nowMillis < entry.settledAtMillis;
    }

    int inFlight(long nowMillis) {
        return (int) lastOrders.values().stream()
                .filter(entry -> !entry.answered && nowMillis < entry.settledAtMillis)
                .count();
    }

    /** Tells whether an observation was made when the last order could no longer change anything. */
    boolean observedAfterOrders(long observedAtMillis, VmId vm) {
        LastOrder entry = lastOrders.get(vm);
        return entry == null || observedAtMillis >= entry.settledAtMillis;
    }

    private record LastOrder(String orderId, long settledAtMillis, boolean answered) {}
}
