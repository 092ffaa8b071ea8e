package io.sesamehead.bench.capacity;

import io.sesamehead.daemon.transport.Addresses;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Passes TCP connections on to a server and counts the bytes in both directions. */
final class ByteMeter implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final InetSocketAddress target;
    private final AtomicLong requestBytes = new AtomicLong();
    private final AtomicLong answerBytes = new AtomicLong();

    ByteMeter(InetSocketAddress target) throws IOException {
        this.target = target;
        Thread.startVirtualThread(this::accept);
    }

    String address() {
        return Addresses.text((InetSocketAddress) server.getLocalSocketAddress());
    }

    long requestBytes() {
        return requestBytes.get();
    }

    long answerBytes() {
        return answerBytes.get();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket near = server.accept();
                Socket far = new Socket(target.getAddress(), target.getPort());
                Thread.startVirtualThread(() -> copy(near, far, requestBytes));
                Thread.startVirtualThread(() -> copy(far, near, answerBytes));
            } catch (IOException e) {
                // The meter was closed.
                return;
            }
        }
    }

    private static void copy(Socket from, Socket to, AtomicLong count) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
                count.addAndGet(read);
                output.write(buffer, 0, read);
            }
        } catch (IOException e) {
            // One side ended, which ends the other.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
