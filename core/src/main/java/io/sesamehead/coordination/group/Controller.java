package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.FailureDomain;

/** The controller of one failure domain. Not safe for use by several threads: one task steps it. */
public final class Controller {
    private final FailureDomain failureDomain;
    private final ControllerSettings settings;

    /**
     * Creates a controller without history.
     *
     * @param failureDomain the failure domain
     * @param settings its times
     */
    public Controller(FailureDomain failureDomain, ControllerSettings settings) {
        this.failureDomain = failureDomain;
        this.settings = settings;
    }

    /**
     * Takes one step. Steps follow each other in intervals of a second or less, and after each write of the assignment.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param view what the controller sees
     * @return what is to be done, in this order
     */
    public ImmutableList<ControllerAction> step(long nowMillis, ControllerView view) {
        if (failureDomain == null || settings == null) {
            throw new IllegalStateException();
        }
        return ImmutableList.of();
    }

    /**
     * Records that an order was answered or certainly not sent, so that it has no effect later. Without this call an
     * order counts as in flight for the longest order time.
     *
     * @param order the order
     */
    public void answered(ControllerAction.Order order) {}

    /**
     * Returns the number of orders that can still take effect.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @return the count, for {@code LeaseHolder.release}
     */
    public int ordersInFlight(long nowMillis) {
        return 0;
    }
}
