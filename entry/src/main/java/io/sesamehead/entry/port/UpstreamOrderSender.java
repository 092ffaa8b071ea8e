package io.sesamehead.entry.port;

import io.sesamehead.coordination.replica.OrderResult;
import io.sesamehead.coordination.replica.ReplicaAction;
import io.sesamehead.coordination.replica.UpstreamEntry;
import java.util.function.Consumer;

/** Sends the controller's orders to upstreams. */
public interface UpstreamOrderSender {
    /**
     * Sends one order.
     *
     * @param target the target upstream
     * @param action the order
     * @param fence fencing token: the epoch of the lease under which the order is sent
     * @param done receives the result on the event loop
     */
    void send(UpstreamEntry target, ReplicaAction action, long fence, Consumer<OrderResult> done);
}
