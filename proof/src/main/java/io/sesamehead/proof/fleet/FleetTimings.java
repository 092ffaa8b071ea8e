package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.group.ControllerSettings;
import io.sesamehead.coordination.lease.LeaseSettings;

/** Timings of the simulated deployment. The lease is short so that its holder changes often within one run. */
final class FleetTimings {
    static final LeaseSettings LEASE = new LeaseSettings(3_000, 150, 800);
    static final long EVIDENCE_MAX_AGE_MILLIS = 3_000;
    static final ControllerSettings CONTROLLER =
            ControllerSettings.of(EVIDENCE_MAX_AGE_MILLIS, LEASE.longestOrderMillis());
    static final long SUSPECT_AFTER_MILLIS = 3_000;
    static final long REMOTE_SUSPECT_AFTER_MILLIS = 12_000;

    /** Maximum extra delay of a message. Together with the maximum order delay it is below the longest order time. */
    static final int MAX_EXTRA_DELAY_MILLIS = 300;

    static final int MAX_ORDER_DELAY_MILLIS = 400;

    /**
     * Maximum time until a message is read: its delay, a pause of the reader below the detection threshold of 500 ms,
     * and one tick of 100 ms.
     */
    static final long MAX_DELIVERY_MILLIS = MAX_EXTRA_DELAY_MILLIS + 600 + 20;

    /** Bound of the invariant {@code leaving}. */
    static final long LEAVING_BOUND_MILLIS = 3_000;

    /** Bound of the invariant {@code config}. */
    static final long CONFIG_BOUND_MILLIS = 16_000;

    private FleetTimings() {}
}
