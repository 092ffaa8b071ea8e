package io.sesamehead.bench.hot;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.admission.Admission;
import io.sesamehead.coordination.admission.AdmissionCall;
import io.sesamehead.coordination.admission.AdmissionDecision;
import io.sesamehead.coordination.admission.AdmissionLimits;
import io.sesamehead.coordination.group.ServeDecision;
import io.sesamehead.coordination.group.ServeGate;
import io.sesamehead.coordination.routing.RouteRequest;
import io.sesamehead.coordination.routing.Router;
import io.sesamehead.coordination.routing.StragglerDetector;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.EvidenceTable;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.VmId;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Decisions that each call takes. Their allocations are stable from run to run; their times are not. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class HotPaths {
    private static final int UPSTREAMS = 50;
    private static final int MEMBERS = 8;
    private static final GroupId GROUP = new GroupId("assistant-1");
    private static final Epoch EPOCH = Epoch.of(1, 1);
    private static final Incarnation ENGINE = new Incarnation(1);
    private static final RequestId REQUEST = new RequestId("request");
    private static final long MAX_AGE_MILLIS = 3_000;

    private final Router router = new Router(new StragglerDetector(), new Random(1));
    private final RouteRequest route = new RouteRequest(
            new ServiceName("assistant"),
            IntStream.range(0, UPSTREAMS)
                    .mapToObj(i -> new UpstreamId("assistant-" + i))
                    .collect(ImmutableSet.toImmutableSet()),
            Router.prefixHash("a prompt"));
    private final Admission admission = new Admission(new AdmissionLimits(100, 100));
    private final AdmissionCall call = new AdmissionCall(REQUEST, new ClientAccount("account"), 5, 100, Long.MAX_VALUE);
    private final EvidenceTable evidence = new EvidenceTable();
    private final Group group = group();

    /** Creates the state; the members of one group are known and ready. */
    public HotPaths() {
        group.members()
                .forEach(member -> evidence.record(new Evidence.Reported(
                        new MemberReport(
                                member.vm(),
                                ENGINE,
                                Optional.of(GROUP),
                                EPOCH,
                                EngineState.READY,
                                Optional.empty(),
                                0,
                                0,
                                0),
                        0)));
    }

    /**
     * Routes one call by its prefix among 50 groups.
     *
     * @return the group
     */
    @Benchmark
    public Optional<UpstreamId> route() {
        Optional<UpstreamId> chosen = router.route(route, 0);
        chosen.ifPresent(upstream -> router.finish(upstream, 0));
        return chosen;
    }

    /**
     * Admits and releases one call.
     *
     * @return the decision
     */
    @Benchmark
    public AdmissionDecision admit() {
        AdmissionDecision decision = admission.offer(call, 0);
        admission.release(REQUEST, 0);
        return decision;
    }

    /**
     * Decides whether a group of 8 VMs may serve.
     *
     * @return the decision
     */
    @Benchmark
    public ServeDecision serve() {
        return ServeGate.decide(1, group, evidence::evidence, MAX_AGE_MILLIS);
    }

    private static Group group() {
        ImmutableList<Group.Member> members = IntStream.range(0, MEMBERS)
                .mapToObj(i -> new Group.Member(new VmId("vm-" + i), Optional.of(ENGINE)))
                .collect(ImmutableList.toImmutableList());
        return new Group(GROUP, new ServiceName("assistant"), "model", "1", EPOCH, GroupState.SERVING, members);
    }
}
