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
     * @param target the upstream
     * @param action the order
     * @param fence fencing number: the epoch of the lease under which it is sent
     * @param done takes the result on the event loop
     */
    void send(UpstreamEntry target, ReplicaAction action, long fence, Consumer<OrderResult> done);
}
