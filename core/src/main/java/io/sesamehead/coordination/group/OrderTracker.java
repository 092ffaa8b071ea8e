package io.sesamehead.coordination.group;

import io.sesamehead.state.VmId;
import java.util.HashMap;
import java.util.Map;

/** Tracks the last order to each VM and whether it can still take effect. */
final class OrderTracker {
    private final Map<VmId, LastOrder> lastOrders = new HashMap<>();
    private final long longestOrderMillis;

    OrderTracker(long longestOrderMillis) {
        this.longestOrderMillis = longestOrderMillis;
    }

    void recordSent(long nowMillis, ControllerAction.Order order) {
        lastOrders.put(order.vm().id(), new LastOrder(order.orderId(), nowMillis + longestOrderMillis, false));
    }

    /**
     * Whether the order may still be sent: it is the last one to its VM and neither answered nor expired. If so, its
     * maximum time in flight starts now.
     */
    boolean startSend(long nowMillis, ControllerAction.Order order) {
        LastOrder last = lastOrders.get(order.vm().id());
        boolean current = last != null
                && last.orderId.equals(order.orderId())
                && !last.answered
                && nowMillis < last.settledAtMillis;
        if (current) {
            recordSent(nowMillis, order);
        }
        return current;
    }

    void recordAnswered(ControllerAction.Order order) {
        VmId vm = order.vm().id();
        LastOrder last = lastOrders.get(vm);
        if (last != null && last.orderId.equals(order.orderId())) {
            lastOrders.put(vm, new LastOrder(last.orderId, last.settledAtMillis, true));
        }
    }

    /** Settles orders answered since the last step at the time of this step, which is never before the answer. */
    void settleAnswered(long nowMillis) {
        lastOrders.replaceAll((vm, last) -> last.answered && last.settledAtMillis > nowMillis
                ? new LastOrder(last.orderId, nowMillis, true)
                : last);
    }

    boolean inFlight(long nowMillis, VmId vm) {
        LastOrder last = lastOrders.get(vm);
        return last != null && nowMillis < last.settledAtMillis;
    }

    int inFlight(long nowMillis) {
        return (int) lastOrders.values().stream()
                .filter(last -> !last.answered && nowMillis < last.settledAtMillis)
                .count();
    }

    /** Whether an observation was made after the last order to the VM could no longer take effect. */
    boolean observedAfterOrders(long observedAtMillis, VmId vm) {
        LastOrder last = lastOrders.get(vm);
        return last == null || observedAtMillis >= last.settledAtMillis;
    }

    private record LastOrder(String orderId, long settledAtMillis, boolean answered) {}
}
