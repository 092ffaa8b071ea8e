package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.group.ControllerSettings;
import io.sesamehead.coordination.lease.LeaseSettings;

/** Times of the simulated deployment. The lease is short, so that one run sees many changes of its holder. */
final class FleetTimings {
    static final LeaseSettings LEASE = new LeaseSettings(3_000, 150, 800);
    static final long EVIDENCE_MAX_AGE_MILLIS = 3_000;
    static final ControllerSettings CONTROLLER =
            ControllerSettings.of(EVIDENCE_MAX_AGE_MILLIS, LEASE.longestOrderMillis());
    static final long SUSPECT_AFTER_MILLIS = 3_000;
    static final long REMOTE_SUSPECT_AFTER_MILLIS = 12_000;

    /** Largest extra delay of a disturbed message. With a delayed order it stays below the longest order time. */
    static final int MAX_EXTRA_DELAY_MILLIS = 300;

    static final int MAX_ORDER_DELAY_MILLIS = 400;

    /**
     * Time that a message can take to be read: its delay, and a pause of the reader below the 500 ms that it notices,
     * with one tick of 100 ms.
     */
    static final long MAX_DELIVERY_MILLIS = MAX_EXTRA_DELAY_MILLIS + 600 + 20;

    /** Bound of invariant leaving. */
    static final long LEAVING_BOUND_MILLIS = 3_000;

    /** Bound of invariant config. */
    static final long CONFIG_BOUND_MILLIS = 16_000;

    private FleetTimings() {}
}
