package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.request.RetryBudget;
import io.sesamehead.state.ServiceName;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** One retry budget for each service, so that a failing service cannot use up the retries of another. */
public final class RetryBudgets {
    private final ConcurrentMap<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();

    /** Creates full budgets. */
    public RetryBudgets() {}

    /**
     * Returns the budget of a service.
     *
     * @param service a service of the release note
     * @return its budget
     */
    public RetryBudget of(ServiceName service) {
        return budgets.computeIfAbsent(service, ignored -> new RetryBudget());
    }
}
