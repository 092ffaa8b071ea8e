package io.sesamehead.proof.fleet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Generation;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.ServiceSpec;
import io.sesamehead.state.ServiceSpec.ModelService;
import io.sesamehead.state.VmId;

/** Releases of the simulated deployment: one model service. */
final class ReleaseFactory {
    static final String OBJECT = "releases/current";
    static final ServiceName SERVICE = new ServiceName("assistant");
    static final int REPLICAS = 3;
    static final int VMS_PER_REPLICA = 2;
    static final long LOAD_MILLIS = 1_000;
    private static final int LOADS_PER_MINUTE = 600;
    private static final int MEMORY_GB = 40;

    private ReleaseFactory() {}

    static AcceptedRelease release(
            Generation generation, FailureDomain domain, String remark, String version, ImmutableSet<VmId> drained) {
        ServiceSpec service = new ModelService(
                SERVICE,
                "lid-writer",
                version,
                REPLICAS,
                VMS_PER_REPLICA,
                MEMORY_GB,
                false,
                ImmutableSet.of(domain),
                LOAD_MILLIS);
        ReleaseNote.PolicySettings policy = new ReleaseNote.PolicySettings(0.8, "reload-proportional", 0);
        ReleaseNote note = new ReleaseNote(
                remark,
                ImmutableMap.of(SERVICE, service),
                ImmutableMap.of(),
                LOADS_PER_MINUTE,
                policy,
                ImmutableSet.of());
        return new AcceptedRelease(generation, note, drained);
    }
}
