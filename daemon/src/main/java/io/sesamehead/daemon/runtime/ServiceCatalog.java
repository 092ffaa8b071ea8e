package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.admission.Admission;
import io.sesamehead.coordination.config.ConfigTable;
import io.sesamehead.daemon.transport.CallResponse;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Generation;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.ServiceSpec;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;

/** What the release in force says about services and client accounts. */
public final class ServiceCatalog {
    private final ConfigTable config;
    private final Admission admission;
    private final AtomicReference<Generation> appliedGeneration = new AtomicReference<>(Generation.NONE);

    /**
     * Creates a view of the configuration.
     *
     * @param config the release in force
     * @param admission takes the shares of the client accounts
     */
    public ServiceCatalog(ConfigTable config, Admission admission) {
        this.config = config;
        this.admission = admission;
    }

    /**
     * Checks that a service exists and is of the expected kind.
     *
     * @param name the service
     * @param kind the expected kind
     * @return empty when it is, otherwise the answer
     */
    Optional<CallResponse> check(ServiceName name, Class<? extends ServiceSpec> kind) {
        Optional<AcceptedRelease> release = config.inForce();
        if (release.isEmpty()) {
            return Optional.of(
                    new CallResponse.Failed(ErrorKind.NO_GROUP, "no release is in force yet", OptionalLong.of(1_000)));
        }
        ServiceSpec spec = release.get().note().services().get(name);
        if (spec == null) {
            return Optional.of(unknown("the release in force has no service " + name));
        }
        return kind.isInstance(spec)
                ? Optional.empty()
                : Optional.of(unknown("service " + name + " takes no calls of this kind"));
    }

    /**
     * Returns a service that {@link #check} found.
     *
     * @param name the service
     * @return the service; without addresses when a new release has just removed it
     */
    ServiceSpec.PlainService plainService(ServiceName name) {
        return config.inForce()
                .map(release -> release.note().services().get(name))
                .filter(ServiceSpec.PlainService.class::isInstance)
                .map(ServiceSpec.PlainService.class::cast)
                .orElseGet(() -> new ServiceSpec.PlainService(name, ImmutableList.of(), true, false, false));
    }

    /** Hands the shares of a new release to admission. */
    void applyShares() {
        Generation inForce = config.generation();
        Generation applied = appliedGeneration.get();
        if (inForce.compareTo(applied) > 0 && appliedGeneration.compareAndSet(applied, inForce)) {
            config.inForce()
                    .ifPresent(release -> admission.applyShares(release.note().shares()));
        }
    }

    private static CallResponse unknown(String detail) {
        return new CallResponse.Failed(ErrorKind.UNKNOWN_SERVICE, detail, OptionalLong.empty());
    }
}
