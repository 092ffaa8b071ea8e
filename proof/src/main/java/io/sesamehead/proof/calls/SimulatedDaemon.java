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

/** Simulated daemon: the production tables of the core module, the open calls, and the connections to upstreams. */
final class SimulatedDaemon {
    private static final long KEY_QUERY_TIMEOUT_MILLIS = 300;
    private static final int BREAK_DETECTION_SPREAD_MILLIS = 3;

    private final CallSimulation simulation;
    private final DaemonId id;
    private final String domain;
    private final SimulatedProcess process;
    private final StoreClient storeClient;
    private final Map<RequestId, CallHandler> handlers = new LinkedHashMap<>();
    private final Map<RequestId, CallHandler> joinedHandlers = new LinkedHashMap<>();
    private final Map<AttemptId, AttemptDispatcher> dispatchers = new LinkedHashMap<>();
    private final TreeMap<Integer, AttemptDispatcher> dispatchersByChannel = new TreeMap<>();
    private final Map<Upstream, Connection> connections = new HashMap<>();
    private DaemonTables tables;
    private ControlTasks controlTasks;
    private ShutdownHandler shutdownHandler;

    SimulatedDaemon(CallSimulation simulation, String name, String domain, double clockRate) {
        this.simulation = simulation;
        this.id = new DaemonId(name);
        this.domain = domain;
        this.process = new SimulatedProcess(simulation.queue(), clockRate);
        this.storeClient = new StoreClient(simulation, name, process);
        boot();
    }

    /** Starts or restarts the process with empty tables and a new incarnation. */
    void boot() {
        handlers.clear();
        joinedHandlers.clear();
        dispatchers.clear();
        dispatchersByChannel.clear();
        connections.values().forEach(Connection::close);
        connections.clear();
        process.start();
        tables = new DaemonTables(id, new Incarnation(simulation.random().nextLong()), simulation.random());
        controlTasks = new ControlTasks(simulation, this);
        shutdownHandler = new ShutdownHandler(simulation, this, controlTasks);
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
        return simulation.random();
    }

    boolean enabled(Mechanism mechanism) {
        return simulation.enabled(mechanism);
    }

    void maybeInjectProcessFault() {
        simulation.faultInjector().maybeInjectProcessFault(this);
    }

    void receiveCall(Call call) {
        call.accept();
        new CallHandler(this, call).open();
    }

    void callOpened(CallHandler handler) {
        handlers.put(handler.call().request(), handler);
    }

    void callJoined(CallHandler handler) {
        joinedHandlers.put(handler.call().request(), handler);
    }

    List<CallHandler> openHandlers() {
        return new ArrayList<>(handlers.values());
    }

    /** Releases the resources of a finished call and passes its response to the calls that joined it. */
    void callFinished(RequestId request, CallResponse response) {
        handlers.remove(request);
        tables.inFlight
                .close(request)
                .ifPresent(closed -> closed.joined()
                        .forEach(other -> joinedHandlers.remove(other).finish(response)));
        tables.admission.release(request, process.nowMillis());
        Optional<AdmissionCall> next = tables.admission.next(process.nowMillis());
        while (next.isPresent()) {
            RequestId admitted = next.get().request();
            process.after(0, () -> runAdmitted(admitted));
            next = tables.admission.next(process.nowMillis());
        }
    }

    void callRefused(AdmissionDecision.Refusal refusal) {
        CallHandler handler = handlers.get(refusal.request());
        if (handler != null) {
            handler.finish(CallResponse.error(refusal.refuse().kind()));
        }
    }

    /**
     * Selects an upstream that was not tried yet, preferring this daemon's failure domain. Once all upstreams were
     * tried, it clears {@code tried} and starts over.
     */
    Optional<Upstream> route(FakeService service, Set<UpstreamId> tried) {
        List<Upstream> all = simulation.upstreams(service);
        if (all.stream().allMatch(upstream -> tried.contains(upstream.id()))) {
            tried.clear();
        }
        List<Upstream> untried =
                all.stream().filter(upstream -> !tried.contains(upstream.id())).toList();
        List<Upstream> sameDomain = untried.stream()
                .filter(upstream -> upstream.domain().equals(domain))
                .toList();
        ImmutableSet<UpstreamId> candidates = (sameDomain.isEmpty() ? untried : sameDomain)
                .stream().map(Upstream::id).collect(ImmutableSet.toImmutableSet());
        RouteRequest request = new RouteRequest(service.name(), candidates, OptionalLong.empty());
        return tables.router
                .route(request, process.nowMillis())
                .flatMap(chosen -> all.stream()
                        .filter(upstream -> upstream.id().equals(chosen))
                        .findFirst());
    }

    /** Returns the open connection to an upstream or opens a new one. Returns empty if the upstream is unreachable. */
    Optional<Connection> connect(Upstream upstream) {
        Connection existing = connections.get(upstream);
        if (existing != null && existing.open()) {
            return Optional.of(existing);
        }
        boolean reachable = upstream.process().alive()
                && simulation.network().connected(name(), upstream.name())
                && simulation.network().connected(upstream.name(), name());
        if (!reachable) {
            return Optional.empty();
        }
        Connection opened = new Connection(new Incarnation(simulation.random().nextLong()), this, upstream);
        connections.put(upstream, opened);
        return Optional.of(opened);
    }

    /** Registers an active attempt and assigns it the lowest free channel, which is returned. */
    int openAttempt(AttemptDispatcher dispatcher, AttemptId attempt, Connection connection) {
        tables.attempts.open(attempt, connection.incarnation());
        dispatchers.put(attempt, dispatcher);
        int channel = 0;
        while (dispatchersByChannel.containsKey(channel)) {
            channel++;
        }
        dispatchersByChannel.put(channel, dispatcher);
        return channel;
    }

    boolean closeAttempt(AttemptId attempt, Connection connection, int channel) {
        dispatchersByChannel.remove(channel);
        dispatchers.remove(attempt);
        return tables.attempts.close(attempt, connection.incarnation());
    }

    void receiveFrame(Frame frame) {
        if (!enabled(Mechanism.FRAME_MATCHING)) {
            Optional.ofNullable(dispatchersByChannel.get(frame.channel()))
                    .ifPresent(dispatcher -> dispatcher.onFrame(frame.content()));
            return;
        }
        if (tables.attempts.accept(frame.attempt(), frame.connection())) {
            dispatchers.get(frame.attempt()).onFrame(frame.content());
        }
    }

    void send(String to, Runnable delivery) {
        simulation.network().send(name(), to, delivery);
    }

    /** Closes a broken connection and immediately notifies the attempts on it. */
    void breakConnection(Connection connection) {
        connection.close();
        connections.remove(connection.upstream(), connection);
        List.copyOf(dispatchers.values()).forEach(dispatcher -> dispatcher.onConnectionBroken(connection));
    }

    /** Handles the end of an upstream process, which breaks its connection. */
    void onUpstreamKilled(Upstream upstream) {
        Optional.ofNullable(connections.get(upstream)).ifPresent(this::onConnectionClosedByPeer);
    }

    /**
     * Handles a connection that was closed by the upstream. The daemon detects this after a short delay,
     * unless messages from the upstream to the daemon are being dropped.
     */
    void onConnectionClosedByPeer(Connection connection) {
        connection.close();
        if (simulation.network().connected(connection.upstream().name(), name())) {
            process.after(random().nextInt(BREAK_DETECTION_SPREAD_MILLIS), () -> breakConnection(connection));
        }
    }

    /** Queries a random upstream of a service for the status of an idempotency key. */
    void queryKeyStatus(FakeService service, String key, Consumer<KeyStatus> callback) {
        List<Upstream> upstreams = simulation.upstreams(service);
        Upstream upstream = upstreams.get(random().nextInt(upstreams.size()));
        Consumer<KeyStatus> receiver = process.bindConsumer(new FirstValueConsumer<>(callback));
        process.after(KEY_QUERY_TIMEOUT_MILLIS, () -> receiver.accept(new KeyStatus.Unavailable()));
        Consumer<Optional<String>> upstreamCallback = answer -> simulation
                .network()
                .send(upstream.name(), name(), () -> receiver.accept(KeyedCallHandler.keyStatus(answer)));
        send(upstream.name(), upstream.process().bind(() -> upstream.queryKey(key, upstreamCallback)));
    }

    private void runAdmitted(RequestId request) {
        CallHandler handler = handlers.get(request);
        if (handler != null) {
            handler.run();
        }
    }
}
