package io.sesamehead.entry.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.sesamehead.entry.runtime.SystemClocks;
import io.sesamehead.state.Endpoint;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a connection that times out or is closed, and is taken for one that is refused. */
final class RefusedConnectionTest {
    private static final long TIMEOUT_MILLIS = 3_000;

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<Endpoint> refused = new CopyOnWriteArrayList<>();
    private final ControlClient client =
            new ControlClient(new HttpConnectionPool(loop, new SystemClocks(), refused::add));

    @AfterEach
    void stop() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private ControlClient.Result send(int port) throws Exception {
        CompletableFuture<ControlClient.Result> result = new CompletableFuture<>();
        ControlClient.Request request =
                new ControlClient.Request(HttpMethod.GET, "/", Map.of(), new byte[0], TIMEOUT_MILLIS);
        loop.execute(() -> client.send(new Endpoint("127.0.0.1", port), request, result::complete));
        return result.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    void reportsRefusedConnection() throws Exception {
        int port;
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = server.getLocalPort();
        }

        assertThat(send(port)).isInstanceOf(ControlClient.Result.Failure.class);
        assertThat(refused).containsExactly(new Endpoint("127.0.0.1", port));
    }

    @Test
    void doesNotReportConnectionThatTimesOut() throws Exception {
        List<Socket> queued = new ArrayList<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            // Linux drops further connection requests while the queue of unaccepted connections is full.
            for (int i = 0; i < 2; i++) {
                Socket socket = new Socket();
                socket.connect(address);
                queued.add(socket);
            }

            assertThat(send(server.getLocalPort()))
                    .isInstanceOfSatisfying(
                            ControlClient.Result.Failure.class,
                            failure -> assertThat(failure.reason()).contains("timed out"));
        } finally {
            for (Socket socket : queued) {
                socket.close();
            }
        }
        assertThat(refused).isEmpty();
    }

    @Test
    void doesNotReportConnectionThatIsClosed() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> closed = CompletableFuture.runAsync(() -> {
                try {
                    Socket socket = server.accept();
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });

            assertThat(send(server.getLocalPort())).isInstanceOf(ControlClient.Result.Failure.class);
            closed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        assertThat(refused).isEmpty();
    }
}
