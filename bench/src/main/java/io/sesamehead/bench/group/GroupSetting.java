package io.sesamehead.bench.group;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;

/**
 * A deployment on which the controller is measured. Every other fabric domain has new hardware with twice the
 * accelerators.
 *
 * @param name name in the table
 * @param downtimeWeight the operators' weight of group downtime against stranded accelerators
 * @param failureDomains failure domains, each with a controller of its own
 * @param fabricDomains fabric domains of each failure domain
 * @param groupsPerFabricDomain replicas for which a fabric domain has room without spares
 * @param vmsPerGroup VMs of a replica
 * @param spares powered VMs of a failure domain beyond those of its replicas
 * @param loadMillis time to load the model, in milliseconds
 * @param loadsPerMinute limit of the weight store
 */
record GroupSetting(
        String name,
        double downtimeWeight,
        int failureDomains,
        int fabricDomains,
        int groupsPerFabricDomain,
        int vmsPerGroup,
        int spares,
        long loadMillis,
        int loadsPerMinute) {
    static final FailureDomain DOMAIN = new FailureDomain("domain");
    static final int OLD_MEMORY_GB = 40;
    private static final int NEW_MEMORY_GB = 80;
    private static final int OLD_ACCELERATORS = 2;
    private static final int NEW_ACCELERATORS = 4;

    /** About 50 engines; an idle press costs money each minute. */
    static final GroupSetting LAKAMBINI = new GroupSetting("lakambini, 48 VMs", 0.8, 3, 2, 2, 4, 2, 120_000, 12);

    /** About 50 engines; idle hardware costs more than downtime. */
    static final GroupSetting GWYNEDD = new GroupSetting("gwynedd, 48 VMs", 0.2, 3, 2, 4, 2, 2, 120_000, 12);

    /** One failure domain of the design size: 72 VMs in replicas and 5 spares. */
    static final GroupSetting DESIGN = new GroupSetting("design size, 77 VMs", 0.5, 1, 3, 3, 8, 5, 240_000, 24);

    GroupSetting withSpares(int count) {
        return new GroupSetting(
                name,
                downtimeWeight,
                failureDomains,
                fabricDomains,
                groupsPerFabricDomain,
                vmsPerGroup,
                count,
                loadMillis,
                loadsPerMinute);
    }

    int replicas() {
        return fabricDomains * groupsPerFabricDomain;
    }

    /** VMs of one failure domain; spares are spread over its fabric domains. */
    ImmutableList<Vm> vms() {
        ImmutableList.Builder<Vm> vms = ImmutableList.builder();
        for (int fabric = 0; fabric < fabricDomains; fabric++) {
            int extra = spares / fabricDomains + (fabric < spares % fabricDomains ? 1 : 0);
            for (int i = 0; i < groupsPerFabricDomain * vmsPerGroup + extra; i++) {
                vms.add(vm("vm-" + fabric + "-" + i, fabric));
            }
        }
        return vms.build();
    }

    static Vm replacement(Vm failed, int number) {
        return new Vm(
                new VmId(failed.id() + "-r" + number),
                failed.failureDomain(),
                failed.fabricDomain(),
                failed.accelerators(),
                failed.acceleratorMemoryGb(),
                failed.engineAddress(),
                false);
    }

    private static Vm vm(String id, int fabric) {
        boolean old = fabric % 2 == 0;
        return new Vm(
                new VmId(id),
                DOMAIN,
                new FabricDomain("fabric-" + fabric),
                old ? OLD_ACCELERATORS : NEW_ACCELERATORS,
                old ? OLD_MEMORY_GB : NEW_MEMORY_GB,
                id + ":1",
                false);
    }
}
