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
final class CallsDaemon {
    private static final long ASK_TIMEOUT_MILLIS = 300;
    private static final int BREAK_NOTICE_MILLIS = 3;

    private final World world;
    private final DaemonId id;
    private final String domain;
    private final Process process;
    private final StorePort storePort;
    private final Map<RequestId, CallFlow> flows = new LinkedHashMap<>();
    private final Map<RequestId, CallFlow> joiners = new LinkedHashMap<>();
    private final Map<AttemptId, Dispatch> attempts = new LinkedHashMap<>();
    private final TreeMap<Integer, Dispatch> channels = new TreeMap<>();
    private final Map<Upstream, Connection> connections = new HashMap<>();
    private DaemonTables tables;
    private ControlTasks control;
    private StopFlow stop;

    CallsDaemon(World world, String name, String domain, double clockRate) {
        this.world = world;
        this.id = new DaemonId(name);
        this.domain = domain;
        this.process = new Process(world.queue(), clockRate);
        this.storePort = new StorePort(world, name, process);
        boot();
    }

    /** Starts the process with empty tables and a new incarnation. */
    void boot() {
        flows.clear();
        joiners.clear();
        attempts.clear();
        channels.clear();
        connections.values().forEach(Connection::close);
        connections.clear();
        process.start();
        tables = new DaemonTables(id, new Incarnation(world.random().nextLong()), world.random());
        control = new ControlTasks(world, this);
        stop = new StopFlow(world, this, control);
        control.start();
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

    Process process() {
        return process;
    }

    DaemonTables tables() {
        return tables;
    }

    ControlTasks control() {
        return control;
    }

    StopFlow stop() {
        return stop;
    }

    StorePort storePort() {
        return storePort;
    }

    RandomGenerator random() {
        return world.random();
    }

    boolean uses(Mechanism mechanism) {
        return world.uses(mechanism);
    }

    void mayBeStruck() {
        world.faults().mayStrike(this);
    }

    void arrive(Call call) {
        call.accept();
        new CallFlow(this, call).open();
    }

    void opened(CallFlow flow) {
        flows.put(flow.call().request(), flow);
    }

    void joined(CallFlow flow) {
        joiners.put(flow.call().request(), flow);
    }

    List<CallFlow> openFlows() {
        return new ArrayList<>(flows.values());
    }

    /** Frees what an ended call held and hands its answer to the calls joined to it. */
    void ended(RequestId request, Reply reply) {
        flows.remove(request);
        tables.inFlight
                .close(request)
                .ifPresent(closed ->
                        closed.joined().forEach(other -> joiners.remove(other).end(reply)));
        tables.admission.release(request, process.nowMillis());
        Optional<AdmissionCall> next = tables.admission.next(process.nowMillis());
        while (next.isPresent()) {
            RequestId admitted = next.get().request();
            process.after(0, () -> run(admitted));
            next = tables.admission.next(process.nowMillis());
        }
    }

    void refused(AdmissionDecision.Refusal refusal) {
        CallFlow flow = flows.get(refusal.request());
        if (flow != null) {
            flow.end(Reply.error(refusal.refuse().kind()));
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
    int open(Dispatch dispatch, AttemptId attempt, Connection connection) {
        tables.attempts.open(attempt, connection.incarnation());
        attempts.put(attempt, dispatch);
        int channel = 0;
        while (channels.containsKey(channel)) {
            channel++;
        }
        channels.put(channel, dispatch);
        return channel;
    }

    boolean close(AttemptId attempt, Connection connection, int channel) {
        channels.remove(channel);
        attempts.remove(attempt);
        return tables.attempts.close(attempt, connection.incarnation());
    }

    void frame(Frame frame) {
        if (!uses(Mechanism.FRAME_MATCHING)) {
            Optional.ofNullable(channels.get(frame.channel())).ifPresent(holder -> holder.frame(frame.content()));
            return;
        }
        if (tables.attempts.accept(frame.attempt(), frame.connection())) {
            attempts.get(frame.attempt()).frame(frame.content());
        }
    }

    void send(String to, Runnable delivery) {
        world.network().send(name(), to, delivery);
    }

    /** Breaks a connection; the attempts on it learn that at once. */
    void connectionBroke(Connection connection) {
        connection.close();
        connections.remove(connection.upstream(), connection);
        List.copyOf(attempts.values()).forEach(dispatch -> dispatch.connectionBroke(connection));
    }

    /** An upstream process ended: its connection breaks. */
    void upstreamEnded(Upstream upstream) {
        Optional.ofNullable(connections.get(upstream)).ifPresent(this::connectionEnded);
    }

    /** The other end of a connection closed it; this daemon learns that a little later, unless the network hides it. */
    void connectionEnded(Connection connection) {
        connection.close();
        if (world.network().connected(connection.upstream().name(), name())) {
            process.after(random().nextInt(BREAK_NOTICE_MILLIS), () -> connectionBroke(connection));
        }
    }

    /** Asks an upstream of a service what became of a key. */
    void askByKey(FakeService service, String key, Consumer<KeyStatus> answer) {
        List<Upstream> upstreams = world.upstreams(service);
        Upstream upstream = upstreams.get(random().nextInt(upstreams.size()));
        Consumer<KeyStatus> receiver = process.receiver(new Once<>(answer));
        process.after(ASK_TIMEOUT_MILLIS, () -> receiver.accept(new KeyStatus.Unavailable()));
        Consumer<Optional<String>> back =
                known -> world.network().send(upstream.name(), name(), () -> receiver.accept(KeyedFlow.known(known)));
        send(upstream.name(), upstream.process().step(() -> upstream.ask(key, back)));
    }

    private void run(RequestId request) {
        CallFlow flow = flows.get(request);
        if (flow != null) {
            flow.run();
        }
    }
}
