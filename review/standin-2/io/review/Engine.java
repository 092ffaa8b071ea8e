package io.review;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Semaphore;

/** A sound engine of a plain service: runs a few requests at once, each for the time that the case sets. */
final class Engine {
    private final String id;
    private final String service;
    private final String zone;
    private final int port;
    private final Record record;
    private final long workMillis;
    private final Semaphore slots;
    private final int slotCount;
    private final java.util.Queue<Socket> connections = new java.util.concurrent.ConcurrentLinkedQueue<>();
    private volatile boolean draining;
    private volatile boolean ended;
    private volatile long drainAckedNanos = Long.MAX_VALUE;
    private java.net.ServerSocket listener;

    Engine(String id, String service, String zone, int port, int slotCount, long workMillis, Record record) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.port = port;
        this.slotCount = slotCount;
        this.slots = new Semaphore(slotCount, true);
        this.workMillis = workMillis;
        this.record = record;
    }

    ServerSocket listen() throws IOException {
        listener = Http.serve("127.0.0.1", port, this::serve);
        return listener;
    }

    /** Starts: listens and registers in the store. */
    void start(Store store) throws IOException {
        listen();
        store.put("servers", id, entry());
        record.line("engine    " + id + " is ready");
    }

    /** Reports that it leaves; it goes on to serve for a while. */
    void drain(Store store) {
        draining = true;
        store.put("servers", id, entry());
        drainAckedNanos = System.nanoTime();
        record.line("engine    " + id + " is draining, acknowledged by the store");
    }

    /** Ends: what it still runs is cut off. */
    void end(Store store) throws IOException {
        store.delete("servers", id);
        listener.close();
        ended = true;
        for (Socket socket : connections) {
            socket.close();
        }
        record.line("engine    " + id + " ends");
    }

    /** Returns the entry by which the engine registers in the store. */
    String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slotCount
                + ",\"state\":\"" + (draining ? "draining" : "ready") + "\",\"cold_left_ms\":0,\"born\":1700000000000,\"seq\":0}";
    }

    String id() {
        return id;
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        connections.add(socket);
        InputStream in = Http.input(socket);
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            String attempt = request.header("sesamehead-attempt-id");
            String head = "Sesamehead-Attempt-Id: " + attempt + "\r\nKeep-Alive: timeout=10\r\n";
            String expected = request.header("sesamehead-expect-instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                Http.write(socket, "HTTP/1.1 421 Misdirected Request\r\n" + head, new byte[0]);
                continue;
            }
            long afterDrainMillis = drainAckedNanos == Long.MAX_VALUE ? -1 : (System.nanoTime() - drainAckedNanos) / 1_000_000;
            if (afterDrainMillis > 0) {
                record.afterDrain(attempt, id, afterDrainMillis);
            }
            slots.acquire();
            try {
                record.ran(attempt, id, request.body().length);
                Thread.sleep(workMillis);
                if (ended) {
                    record.line("cut       " + attempt + " at " + id + ", which has ended");
                    return;
                }
                record.finished(attempt);
                byte[] body = ("{\"done\":\"" + attempt + "\"}").getBytes();
                Http.write(socket, "HTTP/1.1 200 OK\r\n" + head + "Sesamehead-Response-Seal: s." + attempt + "\r\n", body);
            } finally {
                slots.release();
            }
        }
    }
}
