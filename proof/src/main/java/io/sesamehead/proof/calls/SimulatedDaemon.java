package io.sesamehead.proof.calls;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.admission.AdmissionCall;
import io.sesamehead.coordination.admission.AdmissionDecision;
import io.sesamehead.coordination.order.KeyStatus;
import io.sesamehead.coordination.routing.RouteRequest;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.state.AttemptId;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.RequestId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** One daemon: the tables of core, the open calls and the connections to upstreams. */
final class SimulatedDaemon {
    private static final long KEY_QUERY_TIMEOUT_MILLIS = 300;
    private static final int BREAK_DETECTION_SPREAD_MILLIS = 3;

    private final CallSimulation world;
    private final DaemonId id;
    private final String domain;
    private final SimulatedProcess process;
    private final StoreClient storeClient;
    private final Map<RequestId, CallHandler> handlers = new LinkedHashMap<>();
    private final Map<RequestId, CallHandler> joinedHandlers = new LinkedHashMap<>();
    private final Map<AttemptId, AttemptDispatcher> attempts = new LinkedHashMap<>();
    private final TreeMap<Integer, AttemptDispatcher> channels = new TreeMap<>();
    private final Map<Upstream, Connection> connections = new HashMap<>();
    private DaemonTables tables;
    private ControlTasks controlTasks;
    private ShutdownHandler shutdownHandler;

    SimulatedDaemon(CallSimulation world, String name, String domain, double clockRate) {
        this.world = world;
        this.id = new DaemonId(name);
        this.domain = domain;
        this.process = new SimulatedProcess(world.queue(), clockRate);
        this.storeClient = new StoreClient(world, name, process);
        boot();
    }

    /** Starts the process with empty tables and a new incarnation. */
    void boot() {
        handlers.clear();
        joinedHandlers.clear();
        attempts.clear();
        channels.clear();
        connections.values().forEach(Connection::close);
        connections.clear();
        process.start();
        tables = new DaemonTables(id, new Incarnation(world.random().nextLong()), world.random());
        controlTasks = new ControlTasks(world, this);
        shutdownHandler = new ShutdownHandler(world, this, controlTasks);
        controlTasks.start();
    }

    String name() {
        return id.value();
    }

    DaemonId id() {
        return id;
    }

    String domain() {
        return domain;
    }

    SimulatedProcess process() {
        return process;
    }

    DaemonTables tables() {
        return tables;
    }

    ControlTasks controlTasks() {
        return controlTasks;
    }

    ShutdownHandler shutdownHandler() {
        return shutdownHandler;
    }

    StoreClient storeClient() {
        return storeClient;
    }

    RandomGenerator random() {
        return world.random();
    }

    boolean enabled(Mechanism mechanism) {
        return world.enabled(mechanism);
    }

    void mayInjectProcessFault() {
        world.faultInjector().mayInjectProcessFault(this);
    }

    void receiveCall(Call call) {
        call.accept();
        new CallHandler(this, call).open();
    }

    void callOpened(CallHandler flow) {
        handlers.put(flow.call().request(), flow);
    }

    void callJoined(CallHandler flow) {
        joinedHandlers.put(flow.call().request(), flow);
    }

    List<CallHandler> openHandlers() {
        return new ArrayList<>(handlers.values());
    }

    /** Frees what an ended call held and hands its answer to the calls joined to it. */
    void callFinished(RequestId request, CallResponse reply) {
        handlers.remove(request);
        tables.inFlight
                .close(request)
                .ifPresent(closed ->
                        closed.joined().forEach(other -> joinedHandlers.remove(other).finish(reply)));
        tables.admission.release(request, process.nowMillis());
        Optional<AdmissionCall> next = tables.admission.next(process.nowMillis());
        while (next.isPresent()) {
            RequestId admitted = next.get().request();
            process.after(0, () -> runAdmitted(admitted));
            next = tables.admission.next(process.nowMillis());
        }
    }

    void callRefused(AdmissionDecision.Refusal refusal) {
        CallHandler flow = handlers.get(refusal.request());
        if (flow != null) {
            flow.finish(CallResponse.error(refusal.refuse().kind()));
        }
    }

    /** Chooses an untried upstream, of this failure domain if there is one; a second round starts when all were tried. */
    Optional<Upstream> route(FakeService service, Set<UpstreamId> tried) {
        List<Upstream> all = world.upstreams(service);
        if (all.stream().allMatch(upstream -> tried.contains(upstream.id()))) {
            tried.clear();
        }
        List<Upstream> untried =
                all.stream().filter(upstream -> !tried.contains(upstream.id())).toList();
        List<Upstream> near = untried.stream()
                .filter(upstream -> upstream.domain().equals(domain))
                .toList();
        ImmutableSet<UpstreamId> candidates =
                (near.isEmpty() ? untried : near).stream().map(Upstream::id).collect(ImmutableSet.toImmutableSet());
        RouteRequest request = new RouteRequest(service.name(), candidates, OptionalLong.empty());
        return tables.router
                .route(request, process.nowMillis())
                .flatMap(chosen -> all.stream()
                        .filter(upstream -> upstream.id().equals(chosen))
                        .findFirst());
    }

    /** Returns the open connection or opens one; empty when the upstream cannot be reached. */
    Optional<Connection> connect(Upstream upstream) {
        Connection present = connections.get(upstream);
        if (present != null && present.open()) {
            return Optional.of(present);
        }
        boolean reachable = upstream.process().alive()
                && world.network().connected(name(), upstream.name())
                && world.network().connected(upstream.name(), name());
        if (!reachable) {
            return Optional.empty();
        }
        Connection opened = new Connection(new Incarnation(world.random().nextLong()), this, upstream);
        connections.put(upstream, opened);
        return Optional.of(opened);
    }

    /** Makes an attempt live; returns the lowest free channel. */
    int openAttempt(AttemptDispatcher dispatch, AttemptId attempt, Connection connection) {
        tables.attempts.open(attempt, connection.incarnation());
        attempts.put(attempt, dispatch);
        int channel = 0;
        while (channels.containsKey(channel)) {
            channel++;
        }
        channels.put(channel, dispatch);
        return channel;
    }

    boolean closeAttempt(AttemptId attempt, Connection connection, int channel) {
        channels.remove(channel);
        attempts.remove(attempt);
        return tables.attempts.close(attempt, connection.incarnation());
    }

    void receiveFrame(Frame frame) {
        if (!enabled(Mechanism.FRAME_MATCHING)) {
            Optional.ofNullable(channels.get(frame.channel())).ifPresent(holder -> holder.onFrame(frame.content()));
            return;
        }
        if (tables.attempts.accept(frame.attempt(), frame.connection())) {
            attempts.get(frame.attempt()).onFrame(frame.content());
        }
    }

    void send(String to, Runnable delivery) {
        world.network().send(name(), to, delivery);
    }

    /** Breaks a connection; the attempts on it learn that at once. */
    void breakConnection(Connection connection) {
        connection.close();
        connections.remove(connection.upstream(), connection);
        List.copyOf(attempts.values()).forEach(dispatch -> dispatch.onConnectionBroken(connection));
    }

    /** An upstream process ended: its connection breaks. */
    void onUpstreamKilled(Upstream upstream) {
        Optional.ofNullable(connections.get(upstream)).ifPresent(this::onConnectionClosedByPeer);
    }

    /** The other end of a connection closed it; this daemon learns that a little later, unless the network hides it. */
    void onConnectionClosedByPeer(Connection connection) {
        connection.close();
        if (world.network().connected(connection.upstream().name(), name())) {
            process.after(random().nextInt(BREAK_DETECTION_SPREAD_MILLIS), () -> breakConnection(connection));
        }
    }

    /** Asks an upstream of a service what became of a key. */
    void queryKeyStatus(FakeService service, String key, Consumer<KeyStatus> answer) {
        List<Upstream> upstreams = world.upstreams(service);
        Upstream upstream = upstreams.get(random().nextInt(upstreams.size()));
        Consumer<KeyStatus> receiver = process.bindConsumer(new FirstValueConsumer<>(answer));
        process.after(KEY_QUERY_TIMEOUT_MILLIS, () -> receiver.accept(new KeyStatus.Unavailable()));
        Consumer<Optional<String>> back =
                known -> world.network().send(upstream.name(), name(), () -> receiver.accept(KeyedCallHandler.keyStatus(known)));
        send(upstream.name(), upstream.process().bind(() -> upstream.queryKey(key, back)));
    }

    private void runAdmitted(RequestId request) {
        CallHandler flow = handlers.get(request);
        if (flow != null) {
            flow.run();
        }
    }
}
