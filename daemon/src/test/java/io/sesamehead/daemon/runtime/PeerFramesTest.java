package io.sesamehead.daemon.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.sesamehead.daemon.protocol.ForwardMessages;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.CallReference;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Digest;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.EngineState;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Evidence;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Forward;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Hello;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.MemberReport;
import io.sesamehead.daemon.transport.FrameCounters;
import io.sesamehead.daemon.transport.PeerConnection;
import io.sesamehead.daemon.transport.PeerListener;
import io.sesamehead.daemon.transport.PeerMesh;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Outcome;
import io.sesamehead.state.VmId;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends frames to a daemon as a peer that is written by hand. */
@Timeout(60)
class PeerFramesTest implements PeerListener {
    private final BlockingQueue<PeerConnection> connections = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> answers = new LinkedBlockingQueue<>();
    private TestFleet fleet;
    private DaemonProcess daemon;
    private PeerMesh mesh;
    private PeerConnection connection;

    @BeforeEach
    void connect() throws Exception {
        fleet = new TestFleet();
        daemon = fleet.daemon("d-1", "cebu");
        Hello hello = Hello.newBuilder()
                .setDaemon("hand")
                .setIncarnation(9)
                .setFailureDomain("bohol")
                .setPeerAddress("127.0.0.1:1")
                .build();
        mesh = new PeerMesh(() -> hello, new FrameCounters(new MetricRegistry()));
        mesh.setListener(this);
        mesh.setPeerAddresses(Set.of(TestFleet.peerAddress(daemon)));
        connection = connections.poll(20, TimeUnit.SECONDS);
        assertThat(connection).isNotNull();
    }

    @AfterEach
    void close() {
        mesh.close();
        fleet.close();
    }

    /** Guards against frames of an earlier connection or attempt that reach another call. */
    @Test
    void countsUnmatchedFrames() throws Exception {
        connection.send(ForwardMessages.token(reference(1, connection.incarnation()), 0, "x"));
        connection.send(ForwardMessages.end(reference(1, connection.incarnation()), new Outcome.Ran(), 1, "stop"));
        connection.send(ForwardMessages.cancel(reference(2, connection.incarnation())));
        connection.send(forward(reference(3, connection.incarnation() + 1), 1));
        TestFleet.await(
                "four unmatched frames",
                () -> daemon.metrics().counter("peer.unmatched").getCount() == 4);
    }

    /** Guards against two failure domains that pass a call back and forth. */
    @Test
    void refusesCallAfterTwoHops() throws Exception {
        connection.send(forward(reference(1, connection.incarnation()), 2));
        Frame end = answers.poll(20, TimeUnit.SECONDS);
        while (end != null && !end.hasForwardEnd()) {
            end = answers.poll(20, TimeUnit.SECONDS);
        }
        assertThat(end).isNotNull();
        assertThat(end.getForwardEnd().getErrorKind()).isEqualTo(ErrorKind.NO_GROUP.name());
    }

    /** Guards against a digest that refreshes a report which this daemon never received. */
    @Test
    void digestRefreshesOnlyMatchingReport() throws Exception {
        connection.send(evidence(Evidence.newBuilder().addDigest(digest("vm-1", 5))));
        connection.send(evidence(report("vm-2", EngineState.ENGINE_STATE_IDLE, 2_000, 6)));
        TestFleet.await("the report", () -> ageMillis("vm-2") >= 2_000);
        connection.send(evidence(Evidence.newBuilder().addDigest(digest("vm-2", 7))));
        connection.send(evidence(Evidence.newBuilder().addDigest(digest("vm-2", 6))));
        TestFleet.await("the refresh", () -> ageMillis("vm-2") < 2_000);
        assertThat(daemon.tables().evidence().evidence(new VmId("vm-1"))).isEmpty();
    }

    /** Guards against an older report, of another prober, that clears the mark of a leaving member. */
    @Test
    void staleReportKeepsLeavingMark() throws Exception {
        connection.send(evidence(report("vm-2", EngineState.ENGINE_STATE_LEAVING, 100, 6)));
        TestFleet.await("the mark", () -> daemon.tables().drain().isLeaving(new VmId("vm-2")));
        connection.send(evidence(report("vm-2", EngineState.ENGINE_STATE_IDLE, 2_500, 7)));
        connection.send(evidence(report("vm-3", EngineState.ENGINE_STATE_IDLE, 100, 8)));
        TestFleet.await("the last report", () -> ageMillis("vm-3") >= 0);
        assertThat(daemon.tables().drain().isLeaving(new VmId("vm-2"))).isTrue();
    }

    private long ageMillis(String vm) {
        return daemon.tables()
                .evidence()
                .evidence(new VmId(vm))
                .map(it -> daemon.nowMillis() - it.observedAtMillis())
                .orElse(-1L);
    }

    private static Frame evidence(Evidence.Builder evidence) {
        return Frame.newBuilder().setEvidence(evidence).build();
    }

    private static Evidence.Builder report(String vm, EngineState state, int ageMillis, long change) {
        return Evidence.newBuilder()
                .addReports(MemberReport.newBuilder()
                        .setVm(vm)
                        .setEngine(3)
                        .setState(state)
                        .setObservedAgeMillis(ageMillis)
                        .setChange(change));
    }

    private static Digest.Builder digest(String vm, long change) {
        return Digest.newBuilder().setVm(vm).setChange(change).setObservedAgeMillis(100);
    }

    private static CallReference reference(int attempt, long incarnation) {
        return CallReference.newBuilder()
                .setRequest("r-1")
                .setAttempt(attempt)
                .setConnection(incarnation)
                .build();
    }

    private static Frame forward(CallReference reference, int hops) {
        return ForwardMessages.start(Forward.newBuilder()
                .setCall(reference)
                .setHops(hops)
                .setRemainingMillis(5_000)
                .setService("assistant")
                .setAccount("shop-1")
                .build());
    }

    @Override
    public void connected(PeerConnection established) {
        connections.add(established);
    }

    @Override
    public void received(PeerConnection from, Frame frame) {
        answers.add(frame);
    }

    @Override
    public void disconnected(PeerConnection ended) {}
}
