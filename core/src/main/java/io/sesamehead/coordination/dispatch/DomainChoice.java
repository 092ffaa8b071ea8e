package io.sesamehead.coordination.dispatch;

import io.sesamehead.state.FailureDomain;
import java.util.List;
import java.util.Optional;

/** Chooses the failure domain that a call is sent to. */
@FunctionalInterface
public interface DomainChoice {
    /** Leaves the choice to the load of the single targets. */
    DomainChoice NONE = (targets, nowMillis) -> Optional.empty();

    /**
     * Chooses the failure domain of a call.
     *
     * @param targets targets that serve the call and have not been tried
     * @param nowMillis current monotonic time, in milliseconds
     * @return the failure domain, or empty if the load of the single targets decides
     */
    Optional<FailureDomain> choose(List<Target> targets, long nowMillis);
}
