package io.sesamehead.proof;

import java.util.Arrays;

/** Mechanisms that a run can disable, to show that the invariant check detects when they are missing. */
public enum Mechanism {
    /** Work is sent only to groups whose members all agree. */
    EVIDENCE_GATE(Invariant.WHOLE_GROUP),
    /**
     * A VM is assigned to a group only when its engine reports idle, and a new lease holder waits until the previous
     * lease has expired.
     */
    LEASE_WAIT_AND_IDLE_CHECK(Invariant.ONE_GROUP),
    /** Frames are matched by request, attempt and connection, and stream tokens by index and count. */
    FRAME_MATCHING(Invariant.OWN_ANSWER),
    /** Tracks whether any byte of an attempt was written to a socket. */
    SENT_TRACKING(Invariant.NOT_RUN),
    /** A key is claimed in the object API before dispatch. */
    CLAIM_BEFORE_DISPATCH(Invariant.AT_MOST_ONCE),
    /** Leaving upstreams are excluded from routing. */
    LEAVING_EXCLUSION(Invariant.LEAVING),
    /** A stopping daemon waits until requests in flight have finished. */
    WAIT_FOR_IN_FLIGHT(Invariant.GRACEFUL_STOP),
    /** The highest generation wins. */
    HIGHEST_GENERATION(Invariant.CONFIG);

    private final Invariant protects;

    Mechanism(Invariant protects) {
        this.protects = protects;
    }

    /**
     * Returns the invariant that is violated without this mechanism.
     *
     * @return the invariant
     */
    public Invariant protects() {
        return protects;
    }

    /**
     * Returns the mechanism that protects an invariant.
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
