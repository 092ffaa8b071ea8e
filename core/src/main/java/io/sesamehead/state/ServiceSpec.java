package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/** Desired state of a service in the release note. */
public sealed interface ServiceSpec {
    /**
     * Returns the name of the service.
     *
     * @return the name
     */
    ServiceName name();

    /**
     * A model service that runs on groups of VMs.
     *
     * @param name name of the service
     * @param model name of the model
     * @param version version of the model
     * @param replicas desired number of groups in each listed failure domain
     * @param vmsPerReplica number of members of each group
     * @param acceleratorMemoryGb minimum memory of each accelerator of a member, in GB
     * @param checksFencing whether the engines refuse orders with a stale fencing token
     * @param failureDomains failure domains that run the service
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
     * @param addresses addresses of the service
     * @param nonIdempotent whether calls other than GET are non-idempotent by default
     * @param asksByKey whether the service supports status queries by key, {@code GET /keys/{key}}
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
