package io.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Free ports of the loopback address, below those that the system gives out by itself. */
final class Ports {
    private int next = ThreadLocalRandom.current().nextInt(12_000, 28_000);

    /** Returns the first of some free ports in a row. */
    int next(int count) {
        while (true) {
            int first = next;
            next += count;
            if (allFree(first, count)) {
                return first;
            }
        }
    }

    private static boolean allFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                socket.getLocalPort();
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }
}
