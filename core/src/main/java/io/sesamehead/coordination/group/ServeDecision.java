package io.sesamehead.coordination.group;

import io.sesamehead.state.VmId;
import java.util.Optional;

/** Whether a daemon may send work to a group now. */
public sealed interface ServeDecision {
    /** Work may be sent. */
    record Serve() implements ServeDecision {}

    /**
     * Work may not be sent.
     *
     * @param reason why not
     * @param member the member at fault, or empty when it is the group as such
     */
    record Refuse(Reason reason, Optional<VmId> member) implements ServeDecision {}

    /** Why work may not be sent to a group. */
    enum Reason {
        /** The assignment does not record the group as serving. */
        NOT_SERVING,
        /** Nothing is known of a member. */
        NO_EVIDENCE,
        /** The evidence about a member is too old. */
        STALE_EVIDENCE,
        /** A member did not answer. */
        UNREACHABLE,
        /** A member reports another group or none. */
        OTHER_GROUP,
        /** A member reports another epoch of the group. */
        OTHER_EPOCH,
        /** The engine of a member was restarted. */
        OTHER_INCARNATION,
        /** A member is loading. */
        NOT_READY,
        /** A member is leaving. */
        LEAVING
    }
}
