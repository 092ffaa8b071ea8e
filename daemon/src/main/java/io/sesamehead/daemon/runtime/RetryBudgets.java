package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.request.RetryBudget;
import io.sesamehead.state.ServiceName;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Retry budgets per service, so that a failing service cannot use up the retries of another. */
public final class RetryBudgets {
    private final ConcurrentMap<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Budget for attempts that move work: each replaces an attempt that has ended or sent nothing, so it does not multiply
     * the load, and the number of attempts of one request remains bounded.
     */
    private final RetryBudget unlimited = new RetryBudget(0, Double.MAX_VALUE, RetryBudget.DEFAULT_HALF_LIFE_MILLIS);

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

    /**
     * Returns the budget for work that is moved rather than repeated.
     *
     * @return a budget that is never exhausted
     */
    public RetryBudget unlimited() {
        return unlimited;
    }
}
