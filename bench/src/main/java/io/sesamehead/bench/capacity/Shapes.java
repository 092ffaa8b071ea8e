package io.sesamehead.bench.capacity;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;

/** Names, notes, assignments and reports of a failure domain with a given number of engines. */
final class Shapes {
    static final String FIRST_DOMAIN = "domain-1";
    static final FailureDomain DOMAIN = new FailureDomain(FIRST_DOMAIN);
    static final int VMS_PER_REPLICA = 2;
    private static final int VMS_PER_FABRIC_DOMAIN = 8;
    private static final String MODEL = "lid-writer";
    private static final String VERSION = "3";

    private Shapes() {}

    static String vmName(int number) {
        return String.format(Locale.ROOT, "%s-vm-%03d", FIRST_DOMAIN, number);
    }

    /** A note that makes groups of two VMs of all engines of the first failure domain. */
    static String note(int engines) {
        return note(engines / VMS_PER_REPLICA, 1);
    }

    /** A note with the given number of model services, each with the same number of replicas. */
    static String note(int replicas, int services) {
        StringBuilder text = new StringBuilder("[release]\nnote = capacity\n");
        for (int number = 1; number <= services; number++) {
            text.append("""
                    [service assistant-%d]
                    kind = model
                    model = lid-writer
                    version = 3
                    replicas = %d
                    vms-per-replica = 2
                    accelerator-memory-gb = 40
                    checks-fencing = true
                    failure-domains = domain-1
                    load-seconds = 1
                    """.formatted(number, replicas));
        }
        return text.append("""
                        [weights]
                        loads-per-minute = 100000
                        [policy]
                        downtime-weight = 0.8
                        repair = reload-proportional
                        spares-per-fabric-domain = 0
                        """).toString();
    }

    static ImmutableList<Vm> vms(int engines) {
        return IntStream.range(0, engines)
                .mapToObj(number -> new Vm(
                        new VmId(vmName(number)),
                        DOMAIN,
                        new FabricDomain("fabric-" + number / VMS_PER_FABRIC_DOMAIN),
                        2,
                        80,
                        "127.0.0.1:" + (10_000 + number),
                        false))
                .collect(ImmutableList.toImmutableList());
    }

    static ImmutableList<DaemonEntry> daemons(int count) {
        return IntStream.range(0, count).mapToObj(Shapes::daemon).collect(ImmutableList.toImmutableList());
    }

    /** A daemon of one of 13 failure domains. */
    static DaemonEntry daemon(int number) {
        String failureDomain = "domain-" + number % 13;
        return new DaemonEntry(
                new DaemonId(failureDomain + "-d" + number),
                new Incarnation(0x5ca1ab1e00000000L + number),
                new FailureDomain(failureDomain),
                "10.0.0." + number % 250 + ":" + (7_000 + number),
                false);
    }

    /** Serving groups of two VMs each. */
    static GroupAssignment assignment(int engines, long version) {
        ImmutableList<Group> groups = IntStream.range(0, engines / VMS_PER_REPLICA)
                .mapToObj(Shapes::group)
                .collect(ImmutableList.toImmutableList());
        return new GroupAssignment(DOMAIN, 1, version, groups.size() + 1L, groups, ImmutableSet.of());
    }

    private static Group group(int number) {
        return new Group(
                groupId(number),
                new ServiceName("assistant-1"),
                MODEL,
                VERSION,
                Epoch.of(1, number + 1L),
                GroupState.SERVING,
                ImmutableList.of(member(2 * number), member(2 * number + 1)));
    }

    private static GroupId groupId(int number) {
        return new GroupId("assistant-1-" + (number + 1));
    }

    private static Group.Member member(int vm) {
        return new Group.Member(new VmId(vmName(vm)), Optional.of(new Incarnation(engine(vm))));
    }

    private static long engine(int vm) {
        return 0x5ca1ab1e0000L + vm;
    }

    /** What the engine of a VM reports when its group serves. */
    static MemberReport report(int vm) {
        int group = vm / VMS_PER_REPLICA;
        return new MemberReport(
                new VmId(vmName(vm)),
                new Incarnation(engine(vm)),
                Optional.of(groupId(group)),
                Epoch.of(1, group + 1L),
                EngineState.READY,
                Optional.of(MODEL + "@" + VERSION),
                3,
                1,
                120);
    }

    static Evidence evidence(int vm, long observedAtMillis) {
        return new Evidence.Reported(report(vm), observedAtMillis);
    }
}
