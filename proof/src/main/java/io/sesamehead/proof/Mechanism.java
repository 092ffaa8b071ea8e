package io.sesamehead.proof;

import java.util.Arrays;

/** Mechanisms that a run can switch off, to show that the check of the invariant notices their absence. */
public enum Mechanism {
    /** Work is sent only to groups whose members all agree. */
    EVIDENCE_GATE(Invariant.WHOLE_GROUP),
    /** A VM is taken into a group only when its engine reports idle, and a successor waits out the former lease. */
    LEASE_WAIT_AND_IDLE_CHECK(Invariant.ONE_GROUP),
    /** Frames are matched by request, attempt and connection, and streams by position and count. */
    FRAME_MATCHING(Invariant.OWN_ANSWER),
    /** Whether a byte of an attempt reached a socket is tracked. */
    SENT_TRACKING(Invariant.NOT_RUN),
    /** A key is claimed in the object API before dispatch. */
    CLAIM_BEFORE_DISPATCH(Invariant.AT_MOST_ONCE),
    /** Leaving upstreams are excluded from routing. */
    LEAVING_EXCLUSION(Invariant.LEAVING),
    /** A stopping daemon waits for requests in flight. */
    WAIT_FOR_IN_FLIGHT(Invariant.GRACEFUL_STOP),
    /** The highest generation wins. */
    HIGHEST_GENERATION(Invariant.CONFIG);

    private final Invariant protects;

    Mechanism(Invariant protects) {
        this.protects = protects;
    }

    /**
     * Returns the invariant that fails without this mechanism.
     *
     * @return the invariant
     */
    public Invariant protects() {
        return protects;
    }

    /**
     * Finds the mechanism that protects an invariant.
     *
     * @param invariant the invariant
     * @return its mechanism
     */
    public static Mechanism protecting(Invariant invariant) {
        return Arrays.stream(values())
                .filter(mechanism -> mechanism.protects == invariant)
                .findFirst()
                .orElseThrow();
    }
}
