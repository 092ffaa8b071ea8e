package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/** What the release note asks for one service. */
public sealed interface ServiceSpec {
    /**
     * Returns the name of the service.
     *
     * @return the name
     */
    ServiceName name();

    /**
     * A model service that is carried by groups of VMs.
     *
     * @param name name of the service
     * @param model name of the model
     * @param version version of the model
     * @param replicas groups wanted in each listed failure domain
     * @param vmsPerReplica members of each group
     * @param acceleratorMemoryGb least accelerator memory of a member, in GB
     * @param checksFencing whether the engines refuse orders with an old fencing number
     * @param failureDomains failure domains that carry the service
     * @param loadMillis expected time of one model load, in milliseconds
     */
    record ModelService(
            ServiceName name,
            String model,
            String version,
            int replicas,
            int vmsPerReplica,
            int acceleratorMemoryGb,
            boolean checksFencing,
            ImmutableSet<FailureDomain> failureDomains,
            long loadMillis)
            implements ServiceSpec {}

    /**
     * A plain service with fixed addresses.
     *
     * @param name name of the service
     * @param addresses where the service listens
     * @param nonIdempotent whether calls other than GET are non-idempotent by default
     * @param asksByKey whether the service answers {@code GET /keys/{key}}
     * @param refusesRepeats whether the service itself refuses a repeated idempotency key
     */
    record PlainService(
            ServiceName name,
            ImmutableList<ServiceAddress> addresses,
            boolean nonIdempotent,
            boolean asksByKey,
            boolean refusesRepeats)
            implements ServiceSpec {}

    /**
     * Address of a plain service in one failure domain.
     *
     * @param failureDomain failure domain of the upstream
     * @param address {@code ip:port}
     */
    record ServiceAddress(FailureDomain failureDomain, String address) {}
}
