package io.sesamehead.coordination.replica;

import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Optional;

/**
 * One upstream as the registry lists it.
 *
 * @param id its name
 * @param startedAtEpochMillis time of its start, which tells two lives under one name apart
 * @param service the service it runs
 * @param endpoint where it listens
 * @param failureDomain its failure domain
 * @param slots calls that it runs at once
 * @param leaving whether it has announced its end
 * @param fabricDomain its fabric domain, empty for a plain service
 * @param staged models on its host
 * @param loaded models that it holds
 * @param membership its group, if any
 */
public record UpstreamEntry(
        InstanceId id,
        long startedAtEpochMillis,
        ServiceName service,
        Endpoint endpoint,
        FailureDomain failureDomain,
        int slots,
        boolean leaving,
        String fabricDomain,
        List<String> staged,
        List<String> loaded,
        Optional<Membership> membership) {
    /** Copies the lists. */
    public UpstreamEntry {
        staged = List.copyOf(staged);
        loaded = List.copyOf(loaded);
    }
}
