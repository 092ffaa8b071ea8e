package io.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** The link of one daemon to the store: passes bytes on, or while it is cut, keeps them and answers nothing. */
final class Proxy {
    private final int target;
    private volatile boolean cut;

    Proxy(int port, int target) throws IOException {
        this.target = target;
        Http.serve("127.0.0.1", port, this::serve);
    }

    /** Cuts the link silently, or heals it. */
    void setCut(boolean cut) {
        this.cut = cut;
    }

    private void serve(Socket client) throws IOException, InterruptedException {
        try (Socket server = new Socket()) {
            server.connect(new InetSocketAddress("127.0.0.1", target), 1_000);
            server.setTcpNoDelay(true);
            Thread back = Thread.ofVirtual().start(() -> copy(server, client));
            copy(client, server);
            back.interrupt();
        }
    }

    private void copy(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[65_536];
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                while (cut) {
                    Thread.sleep(5);
                }
                out.write(bytes, 0, count);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // One side has gone.
        }
        try {
            from.close();
            to.close();
        } catch (IOException e) {
            // They are closed anyway.
        }
    }
}
