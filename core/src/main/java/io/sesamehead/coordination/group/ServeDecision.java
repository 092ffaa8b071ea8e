package io.sesamehead.coordination.group;

import io.sesamehead.state.VmId;
import java.util.Optional;

/** Decision whether a daemon may send work to a group. */
public sealed interface ServeDecision {
    /** Work may be sent. */
    record Serve() implements ServeDecision {}

    /**
     * Work may not be sent.
     *
     * @param reason reason for the refusal
     * @param member the member that caused the refusal, or empty if it is the group itself
     */
    record Refuse(Reason reason, Optional<VmId> member) implements ServeDecision {}

    /** Reason why work may not be sent to a group. */
    enum Reason {
        /** The assignment does not record the group as serving. */
        NOT_SERVING,
        /** There is no evidence about a member. */
        NO_EVIDENCE,
        /** The evidence about a member is stale. */
        STALE_EVIDENCE,
        /** A member did not answer. */
        UNREACHABLE,
        /** A member reports another group or no group. */
        OTHER_GROUP,
        /** A member reports another epoch of the group. */
        OTHER_EPOCH,
        /** The engine of a member was restarted. */
        OTHER_INCARNATION,
        /** A member is not ready, for example because it is loading. */
        NOT_READY,
        /** A member is leaving. */
        LEAVING
    }
}
