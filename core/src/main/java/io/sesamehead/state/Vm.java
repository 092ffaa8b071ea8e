package io.sesamehead.state;

/**
 * An upstream VM, as described in the platform's VM list.
 *
 * @param id name of the VM
 * @param failureDomain failure domain of the VM
 * @param fabricDomain fabric domain of the VM
 * @param accelerators number of accelerators
 * @param acceleratorMemoryGb memory of each accelerator, in GB
 * @param engineAddress {@code ip:port} of the model engine
 * @param leaving whether the platform announced that the VM will be removed
 */
public record Vm(
        VmId id,
        FailureDomain failureDomain,
        FabricDomain fabricDomain,
        int accelerators,
        int acceleratorMemoryGb,
        String engineAddress,
        boolean leaving) {}
