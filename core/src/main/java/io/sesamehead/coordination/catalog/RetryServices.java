package io.sesamehead.coordination.catalog;

import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides at which services a further attempt of an admitted call may run after the configuration has changed. The
 * service chosen at admission stays allowed, because the call was sent under the version that named it. The version in
 * force goes first where it names other services, since the former ones may be about to end; only a stream that has
 * begun is continued by the service that began it, if that can.
 */
public final class RetryServices {
    private RetryServices() {}

    /**
     * Returns the services at which an attempt may run, in order of preference.
     *
     * @param admittedTo service chosen when the call was admitted
     * @param admittedBy route by which the call was admitted
     * @param inForce route of the call in the configuration in force, empty if it has none
     * @param responseBegun whether the caller has received the beginning of the response
     * @return the services, at least the one chosen at admission
     */
    public static List<ServiceName> inOrder(
            ServiceName admittedTo, Route admittedBy, Optional<Route> inForce, boolean responseBegun) {
        List<ServiceName> services = new ArrayList<>();
        inForce.filter(route -> route.kind() == admittedBy.kind() && route.idempotent() == admittedBy.idempotent())
                .ifPresent(route -> services.addAll(servicesByWeight(route)));
        if (services.contains(admittedTo)) {
            return List.of(admittedTo);
        }
        services.add(responseBegun ? 0 : services.size(), admittedTo);
        return services;
    }

    private static List<ServiceName> servicesByWeight(Route route) {
        return route.backends().stream()
                .filter(backend -> backend.weight() > 0)
                .sorted(Comparator.comparingInt(Backend::weight).reversed())
                .map(Backend::service)
                .toList();
    }
}
