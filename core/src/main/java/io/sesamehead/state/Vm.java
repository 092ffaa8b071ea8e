package io.sesamehead.state;

/**
 * One upstream VM as the platform's list describes it.
 *
 * @param id name of the VM
 * @param failureDomain failure domain of the VM
 * @param fabricDomain fabric domain of the VM
 * @param accelerators number of accelerators
 * @param acceleratorMemoryGb memory of each accelerator, in GB
 * @param engineAddress {@code ip:port} of the model engine
 * @param leaving true when the platform announces that the VM goes away
 */
public record Vm(
        VmId id,
        FailureDomain failureDomain,
        FabricDomain fabricDomain,
        int accelerators,
        int acceleratorMemoryGb,
        String engineAddress,
        boolean leaving) {}
