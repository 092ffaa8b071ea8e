package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/**
 * Chooses idle VMs for a group, all in one fabric domain. Prefers VMs with few recent faults and the smallest
 * sufficient ones, so that newer hardware stays free for models that need it, and strands the fewest accelerators:
 * those left over that no further group of the same size could use.
 */
public final class PlacementPlanner {
    private final int sparesPerFabricDomain;
    private final ToIntFunction<VmId> recentFaults;

    /**
     * Creates a planner.
     *
     * @param sparesPerFabricDomain idle VMs to keep in each fabric domain; a group that fits only by using them takes
     *     precedence
     * @param recentFaults returns the number of recent losses and restarts of a VM
     */
    public PlacementPlanner(int sparesPerFabricDomain, ToIntFunction<VmId> recentFaults) {
        this.sparesPerFabricDomain = sparesPerFabricDomain;
        this.recentFaults = recentFaults;
    }

    /**
     * Chooses the VMs of a new group.
     *
     * @param free available VMs
     * @param size number of VMs
     * @param acceleratorMemoryGb minimum memory of each accelerator, in GB
     * @return the VMs in rank order, or empty if no fabric domain has enough
     */
    public Optional<ImmutableList<Vm>> placeGroup(Collection<Vm> free, int size, int acceleratorMemoryGb) {
        TreeMap<FabricDomain, ImmutableList<Vm>> byDomain = new TreeMap<>(Comparator.comparing(FabricDomain::value));
        for (Vm vm : suitable(free, acceleratorMemoryGb)) {
            byDomain.merge(vm.fabricDomain(), ImmutableList.of(vm), PlacementPlanner::join);
        }
        return byDomain.values().stream()
                .filter(vms -> vms.size() >= size)
                .map(vms -> candidate(vms, size))
                .min(Candidate.ORDER)
                .map(Candidate::taken);
    }

    /**
     * Chooses replacements for members of a group. Spares may be used.
     *
     * @param free available VMs
     * @param fabricDomain fabric domain of the group
     * @param count number of VMs
     * @param acceleratorMemoryGb minimum memory of each accelerator, in GB
     * @return the VMs, or empty if there are not enough
     */
    public Optional<ImmutableList<Vm>> chooseReplacements(
            Collection<Vm> free, FabricDomain fabricDomain, int count, int acceleratorMemoryGb) {
        ImmutableList<Vm> chosen = suitable(free, acceleratorMemoryGb).stream()
                .filter(vm -> vm.fabricDomain().equals(fabricDomain))
                .limit(count)
                .collect(ImmutableList.toImmutableList());
        return chosen.size() == count ? Optional.of(chosen) : Optional.empty();
    }

    private List<Vm> suitable(Collection<Vm> free, int acceleratorMemoryGb) {
        return free.stream()
                .filter(vm -> vm.acceleratorMemoryGb() >= acceleratorMemoryGb)
                .sorted(Comparator.<Vm>comparingInt(vm -> recentFaults.applyAsInt(vm.id()))
                        .thenComparingInt(Vm::acceleratorMemoryGb)
                        .thenComparingInt(Vm::accelerators)
                        .thenComparing(Vm::id))
                .toList();
    }

    private Candidate candidate(ImmutableList<Vm> vms, int size) {
        ImmutableList<Vm> taken = vms.subList(0, size);
        ImmutableList<Vm> left = vms.subList(size, vms.size());
        int usable = left.size() / size * size;
        int stranded = left.subList(usable, left.size()).stream()
                .mapToInt(Vm::accelerators)
                .sum();
        int faults =
                taken.stream().mapToInt(vm -> recentFaults.applyAsInt(vm.id())).sum();
        int memory = taken.stream().mapToInt(Vm::acceleratorMemoryGb).sum();
        boolean takesSpares = left.size() < sparesPerFabricDomain;
        return new Candidate(taken, takesSpares, faults, memory, stranded, left.size());
    }

    private static ImmutableList<Vm> join(ImmutableList<Vm> first, ImmutableList<Vm> second) {
        return ImmutableList.<Vm>builder().addAll(first).addAll(second).build();
    }

    private record Candidate(
            ImmutableList<Vm> taken, boolean takesSpares, int faults, int memoryGb, int stranded, int left) {
        /** Oversized hardware is compared before stranded accelerators, because another model may need it. */
        private static final Comparator<Candidate> ORDER = Comparator.comparing(Candidate::takesSpares)
                .thenComparingInt(Candidate::faults)
                .thenComparingInt(Candidate::memoryGb)
                .thenComparingInt(Candidate::stranded)
                .thenComparingInt(Candidate::left);
    }
}
