package io.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A model engine as PROTOCOL.md describes it: takes orders, reports its group in the store at once, and streams answers
 * while it is the open head of a group.
 */
final class GroupEngine {
    /** What becomes of an order that arrives. */
    enum Fate {
        /** It is carried out and answered. */
        NORMAL,
        /** It gets no answer and is not carried out now. */
        HELD,
        /** As HELD, and a second copy of the last order's answer arrives where its own is expected. */
        HELD_BEHIND_COPY
    }

    /** The case decides the fate of each order. */
    interface Orders {
        Fate fate(GroupEngine engine, Order order);

        void carriedOut(GroupEngine engine, Order order, int status);
    }

    record Order(String op, String group, long epoch, String model, List<String> members, long fence, String text) {}

    private static final Pattern OP = Pattern.compile("\"op\"\\s*:\\s*\"([a-z]+)\"");
    private static final Pattern GROUP = Pattern.compile("\"group\"\\s*:\\s*\"([^\"]+)\"");
    private static final Pattern MODEL = Pattern.compile("\"model\"\\s*:\\s*\"([^\"]+)\"");
    private static final Pattern EPOCH = Pattern.compile("\"epoch\"\\s*:\\s*(\\d+)");
    private static final Pattern FENCE = Pattern.compile("\"fence\"\\s*:\\s*(\\d+)");
    private static final Pattern MEMBERS = Pattern.compile("\"members\"\\s*:\\s*\\[([^\\]]*)\\]");
    private static final long JOIN_MILLIS = 200;
    private static final long WARM_MILLIS = 1_100;
    private static final long LOAD_MILLIS = 12_000;
    private static final long FORM_MILLIS = 300;
    private static final long STALL_MILLIS = 4_000;
    private static final int EVENTS = 4;
    private static final long EVENT_MILLIS = 40;

    final String id;
    private final int port;
    private final Store store;
    private final Record record;
    private final Orders orders;
    private final Map<String, GroupEngine> fleet;
    private final long born = System.currentTimeMillis();
    private final List<String> staged = new ArrayList<>();
    private final List<Socket> connections = new ArrayList<>();
    private ServerSocket listener;
    private volatile boolean alive;
    private volatile boolean traffic;
    private volatile boolean draining;
    /** The answer to the last order on each connection. */
    private final Map<Socket, String> lastAnswers = new ConcurrentHashMap<>();

    /** Whether a second copy of an answer has been sent. */
    volatile boolean copySent;


    private long seq;
    private long fenceSeen;
    private long epochSeen;
    private String group = "";
    private long epoch;
    private List<String> members = List.of();
    private String state = "";
    private String lastModel = "";
    private long generation;
    private volatile long memberLostNanos;

    /** Breaches of TWO that this engine saw. */
    private final List<String> breaches;

    GroupEngine(
            String id,
            int port,
            Store store,
            Record record,
            Orders orders,
            Map<String, GroupEngine> fleet,
            List<String> stagedOnHost,
            List<String> breaches) {
        this.id = id;
        this.port = port;
        this.store = store;
        this.record = record;
        this.orders = orders;
        this.fleet = fleet;
        this.staged.addAll(stagedOnHost);
        this.breaches = breaches;
    }

    void start() throws IOException {
        alive = true;
        fleet.put(id, this);
        listener = Http.serve("127.0.0.1", port, this::serve);
        record.line("engine    " + id + " starts");
        report();
        Thread.ofVirtual().start(this::watchMembers);
    }

    /** Dies: sends nothing more, its connections end. Its entry stays until three heartbeat intervals have passed. */
    synchronized void crash() throws IOException {
        alive = false;
        listener.close();
        for (Socket socket : List.copyOf(connections)) {
            socket.close();
        }
        record.line("engine    " + id + " crashes");
    }

    /** From the first request on, loads take their full time. */
    void trafficBegins() {
        traffic = true;
    }

    synchronized List<String> staged() {
        return List.copyOf(staged);
    }

    synchronized String group() {
        return group;
    }

    synchronized String state() {
        return state;
    }

    private synchronized void report() {
        if (!alive) {
            return;
        }
        String membership = group.isEmpty()
                ? ""
                : ",\"group\":{\"name\":\"" + group + "\",\"epoch\":" + epoch + ",\"rank\":" + members.indexOf(id)
                        + ",\"state\":\"" + state + "\"}";
        String models = lastModel.isEmpty()
                ? ""
                : "{\"name\":\"" + lastModel + "\",\"version\":1,\"adapters\":[]}";
        String copies = staged.isEmpty() ? "" : "\"" + String.join("\",\"", staged) + "\"";
        store.put("servers", id, "{\"service\":\"pool\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":18,\"state\":\"" + (draining ? "draining" : "ready") + "\",\"cold_left_ms\":0,"
                + "\"stage\":\"mixed\",\"models\":[" + models + "],\"staged\":[" + copies + "],\"domain\":\"d0\""
                + membership + ",\"born\":" + born + ",\"seq\":" + seq + "}");
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        synchronized (this) {
            connections.add(socket);
        }
        InputStream in = Http.input(socket);
        for (Http.Message request = Http.read(in); request != null && alive; request = Http.read(in)) {
            String attempt = request.header("sesamehead-attempt-id");
            String own = attempt.isEmpty() ? "" : "Sesamehead-Attempt-Id: " + attempt + "\r\n";
            String expected = request.header("sesamehead-expect-instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                Http.write(socket, "HTTP/1.1 421 Misdirected Request\r\n" + own, new byte[0]);
            } else if (request.first().contains("/api/order")) {
                order(socket, new String(request.body(), StandardCharsets.UTF_8));
            } else {
                stream(socket, attempt, request);
            }
        }
    }

    private void order(Socket socket, String body) throws IOException, InterruptedException {
        Order order = new Order(
                find(OP, body, ""),
                find(GROUP, body, ""),
                Long.parseLong(find(EPOCH, body, "0")),
                find(MODEL, body, ""),
                List.of(find(MEMBERS, body, "").replace("\"", "").replace(" ", "").split(",")),
                Long.parseLong(find(FENCE, body, "0")),
                body);
        Fate fate = orders.fate(this, order);
        if (fate != Fate.NORMAL) {
            record.line("order     " + id + " leaves without an answer: " + body);
            String lastAnswer = lastAnswers.get(socket);
            if (fate == Fate.HELD_BEHIND_COPY && lastAnswer != null) {
                record.line("order     " + id + " sends on this connection a second copy of its answer " + lastAnswer.trim());
                copySent = true;
                Http.write(socket, lastAnswer, new byte[0]);
                return;
            }
            // The connection stays open and says nothing.
            while (alive && socket.getInputStream().read() >= 0) {
                Thread.yield();
            }
            return;
        }
        int status = carryOut(order, "");
        String reason = status == 202 ? "Accepted" : status == 200 ? "OK" : "Refused";
        String answer = "HTTP/1.1 " + status + " " + reason + "\r\n";
        lastAnswers.put(socket, answer);
        Http.write(socket, answer, new byte[0]);
    }

    /** Announces that it leaves, and serves on. */
    void drain() {
        draining = true;
        record.line("engine    " + id + " is draining");
        report();
    }

    private static String find(Pattern pattern, String text, String fallback) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? matcher.group(1) : fallback;
    }

    /** Carries out an order now. Returns the status of its answer. */
    int carryOut(Order order, String note) {
        int status;
        synchronized (this) {
            status = apply(order);
        }
        record.line("order     " + id + " " + status + note + ": " + order.text());
        report();
        orders.carriedOut(this, order, status);
        return status;
    }

    private int apply(Order order) {
        if (!alive) {
            return 503;
        }
        if (order.fence() < fenceSeen) {
            return 412;
        }
        fenceSeen = order.fence();
        return switch (order.op()) {
            case "join" -> join(order);
            case "open" -> open(order);
            case "leave" -> leave(order);
            case "stage" -> stage(order);
            default -> 400;
        };
    }

    private int join(Order order) {
        boolean same = order.group().equals(group) && order.epoch() == epoch;
        if (order.epoch() < epochSeen || (same && !order.members().equals(members))) {
            return 412;
        }
        if (same) {
            return 200;
        }
        if (!group.isEmpty() && isHeadActive()) {
            String breach = id + " takes a join of " + order.group() + " while the head of its group " + group + " is "
                    + headState();
            breaches.add(breach);
            record.line("BROKEN    TWO: " + breach);
        }
        epochSeen = order.epoch();
        group = order.group();
        epoch = order.epoch();
        members = order.members();
        state = "joining";
        seq++;
        memberLostNanos = 0;
        long mine = ++generation;
        boolean again = order.model().equals(lastModel);
        long millis = again ? JOIN_MILLIS : staged.contains(order.model()) ? WARM_MILLIS : loadMillis();
        lastModel = order.model();
        later(millis, () -> {
            if (generation == mine && state.equals("joining")) {
                state = "ready";
                if (!staged.contains(order.model())) {
                    staged.clear();
                    staged.add(order.model());
                }
            }
        });
        return 202;
    }

    private boolean isHeadActive() {
        return headState().equals("open") || headState().equals("closing");
    }

    private String headState() {
        GroupEngine head = members.isEmpty() ? null : fleet.get(members.get(0));
        if (head == this) {
            return state;
        }
        return head != null && head.alive && head.group.equals(group) ? head.state : "";
    }

    private int open(Order order) {
        if (!order.group().equals(group) || order.epoch() != epoch || !members.get(0).equals(id)) {
            return 409;
        }
        if (state.equals("open")) {
            return 200;
        }
        if (!state.equals("ready")) {
            return 409;
        }
        seq++;
        long mine = generation;
        later(FORM_MILLIS, () -> {
            if (generation == mine && state.equals("ready")) {
                state = "open";
            }
        });
        return 202;
    }

    private int leave(Order order) {
        if (!order.group().equals(group) || order.epoch() != epoch) {
            return 200;
        }
        seq++;
        generation++;
        group = "";
        epoch = 0;
        members = List.of();
        state = "";
        return 202;
    }

    private int stage(Order order) {
        if (staged.contains(order.model())) {
            return 200;
        }
        seq++;
        later(loadMillis(), () -> {
            staged.clear();
            staged.add(order.model());
        });
        return 202;
    }

    private long loadMillis() {
        return traffic ? LOAD_MILLIS : LOAD_MILLIS / 10;
    }

    private void later(long millis, Runnable change) {
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                change.run();
            }
            report();
        });
    }

    /** Notices a lost member; the head is broken after the stall time. */
    private void watchMembers() {
        try {
            while (alive) {
                Thread.sleep(20);
                boolean broke = false;
                synchronized (this) {
                    boolean head = state.equals("open") && members.get(0).equals(id);
                    boolean lost = head && members.stream().anyMatch(member -> !isMember(member));
                    if (!lost) {
                        memberLostNanos = 0;
                    } else if (memberLostNanos == 0) {
                        memberLostNanos = System.nanoTime();
                    } else if (System.nanoTime() - memberLostNanos > STALL_MILLIS * 1_000_000) {
                        state = "broken";
                        broke = true;
                    }
                }
                if (broke) {
                    record.line("engine    " + id + " is broken as head of " + group);
                    report();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isMember(String member) {
        GroupEngine engine = fleet.get(member);
        return engine != null && engine.alive && engine.group.equals(group);
    }

    private void stream(Socket socket, String attempt, Http.Message request) throws IOException, InterruptedException {
        String head = "Sesamehead-Attempt-Id: " + attempt + "\r\nSesamehead-Response-Seal: s." + attempt + "\r\n";
        String served;
        synchronized (this) {
            served = state.equals("open") ? group : "";
        }
        if (served.isEmpty()) {
            Http.write(socket, "HTTP/1.1 503 Service Unavailable\r\nSesamehead-Not-Executed: 1\r\n" + head, new byte[0]);
            return;
        }
        String last = request.header("last-event-id");
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        OutputStream out = socket.getOutputStream();
        for (int i = from; i <= EVENTS; i++) {
            Thread.sleep(EVENT_MILLIS);
            while (memberLostNanos != 0 && group().equals(served)) {
                Thread.sleep(20);
            }
            if (!group().equals(served) || !state().equals("open")) {
                record.line("cut       " + attempt + " at " + id + ", which no longer serves " + served);
                socket.close();
                return;
            }
            if (i == from) {
                record.ran(attempt, id + " in " + served, 0);
                out.write(("HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
            }
            String event = "id: " + i + "\ndata: t" + i + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
        record.finished(attempt);
    }
}
