package io.sesamehead.daemon.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Hello;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Leaving;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Suspect;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class PeerMeshTest {
    private static final int WAIT_SECONDS = 10;

    /** Guards against a link that stays down after its peer was replaced at the same address. */
    @Test
    void reconnectsToRestartedPeer() throws Exception {
        try (Peer dialler = new Peer("a", 1)) {
            Peer first = new Peer("b", 2);
            InetSocketAddress address = first.mesh.listen(loopback(0));
            dialler.mesh.setPeerAddresses(Set.of(address));
            assertThat(dialler.next(dialler.connects).peer().getIncarnation()).isEqualTo(2);
            first.close();
            try (Peer second = new Peer("b", 3)) {
                second.mesh.listen(address);
                PeerConnection connection = dialler.next(dialler.connects);
                assertThat(connection.peer().getIncarnation()).isEqualTo(3);
                assertThat(connection.send(leaving())).isTrue();
                assertThat(second.next(second.frames)).isEqualTo(leaving());
            }
        }
    }

    /** Guards against answers that carry the number of another connection, and against wrong byte counts. */
    @Test
    void agreesOnConnectionIncarnationAndByteCounts() throws Exception {
        try (Peer a = new Peer("a", 1);
                Peer b = new Peer("b", 2)) {
            a.mesh.setPeerAddresses(Set.of(b.mesh.listen(loopback(0))));
            PeerConnection dialled = a.next(a.connects);
            PeerConnection accepted = b.next(b.connects);
            assertThat(accepted.incarnation()).isEqualTo(dialled.incarnation());
            accepted.send(leaving());
            assertThat(a.next(a.frames)).isEqualTo(leaving());
            long sent = b.metrics.counter("peer.sent.leaving.bytes").getCount();
            assertThat(sent).isEqualTo(leaving().getSerializedSize() + Integer.BYTES);
            assertThat(a.metrics.counter("peer.received.leaving.bytes").getCount())
                    .isEqualTo(sent);
        }
    }

    /** Guards against an outbound queue that grows without bound towards a peer that does not read. */
    @Test
    void dropsAndCountsFramesWhenQueueIsFull() throws Exception {
        try (Peer a = new Peer("a", 1);
                Peer b = new Peer("b", 2)) {
            a.mesh.setPeerAddresses(Set.of(b.mesh.listen(loopback(0))));
            PeerConnection connection = a.next(a.connects);
            b.next(b.connects);
            b.blocked = true;
            Frame large = Frame.newBuilder()
                    .setSuspect(Suspect.newBuilder().setFingerprint("x".repeat(1 << 16)))
                    .build();
            int sent = 0;
            while (connection.send(large)) {
                sent++;
                assertThat(sent).as("frames accepted before the queue is full").isLessThan(10_000);
            }
            assertThat(connection.testAndClearDropped()).isTrue();
            assertThat(connection.testAndClearDropped()).isFalse();
            assertThat(a.metrics.counter("peer.dropped.suspect").getCount()).isEqualTo(1);
            b.blocked = false;
        }
    }

    private static Frame leaving() {
        return Frame.newBuilder()
                .setLeaving(Leaving.newBuilder().setDaemon("a").setIncarnation(7))
                .build();
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static final class Peer implements PeerListener, AutoCloseable {
        final BlockingQueue<PeerConnection> connects = new LinkedBlockingQueue<>();
        final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
        final MetricRegistry metrics = new MetricRegistry();
        final PeerMesh mesh;
        volatile boolean blocked;

        Peer(String name, long incarnation) {
            Hello hello = Hello.newBuilder()
                    .setDaemon(name)
                    .setIncarnation(incarnation)
                    .build();
            mesh = new PeerMesh(() -> hello, new FrameCounters(metrics));
            mesh.setListener(this);
        }

        <T> T next(BlockingQueue<T> queue) throws InterruptedException {
            T value = queue.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertThat(value).isNotNull();
            return value;
        }

        @Override
        public void connected(PeerConnection connection) {
            connects.add(connection);
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            while (blocked) {
                Thread.onSpinWait();
            }
            frames.add(frame);
        }

        @Override
        public void disconnected(PeerConnection connection) {
            connects.removeIf(known -> !known.active());
        }

        @Override
        public void close() {
            blocked = false;
            mesh.close();
        }
    }
}
