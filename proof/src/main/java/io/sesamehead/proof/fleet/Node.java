package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.config.ConfigDecision;
import io.sesamehead.coordination.config.ConfigSource;
import io.sesamehead.coordination.config.ConfigTable;
import io.sesamehead.coordination.membership.DaemonDirectory;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.coordination.membership.RelayAssignment;
import io.sesamehead.proof.FakeStore.StoreResponse;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Generation;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** One life of a daemon: what it knows of its peers and of the release, and how it passes releases on. */
final class Node {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;
    private static final long REMOTE_HEARTBEAT_INTERVAL_MILLIS = 5_000;
    private static final long WATCH_INTERVAL_MILLIS = 500;
    private static final long INITIAL_POLL_INTERVAL_MILLIS = 1_000;
    private static final long FALLBACK_POLL_INTERVAL_MILLIS = 60_000;
    /** A daemon that dialled this one is answered for two far heartbeats and some delay. */
    private static final long INBOUND_PEER_TTL_MILLIS = 12_000;

    private final SimulationContext context;
    private final DaemonEntry self;
    private final SimProcess process;
    private final Map<DaemonId, Node> nodes;
    private final DaemonDirectory directory;
    private final ConfigTable config = new ConfigTable();
    private final StoreClient store;
    private final Map<DaemonId, Long> inboundPeers = new TreeMap<>();
    private Optional<AcceptedRelease> lastReceivedRelease = Optional.empty();
    private Generation highestSeenGeneration = Generation.NONE;
    private boolean answered;

    Node(
            SimulationContext sim,
            DaemonEntry self,
            SimProcess process,
            Map<DaemonId, Node> nodes,
            List<DaemonEntry> listed) {
        this.context = sim;
        this.self = self;
        this.process = process;
        this.nodes = nodes;
        this.store = new StoreClient(sim, process, self.daemon().value(), self.incarnation());
        this.directory =
                new DaemonDirectory(self, FleetTimings.SUSPECT_AFTER_MILLIS, FleetTimings.REMOTE_SUSPECT_AFTER_MILLIS);
        listed.forEach(directory::recordListed);
    }

    void start() {
        pollUntilAnswered();
        process.every(
                FALLBACK_POLL_INTERVAL_MILLIS + context.randomMillis(0, HEARTBEAT_INTERVAL_MILLIS), this::readRelease);
        process.every(WATCH_INTERVAL_MILLIS, this::watchRelease);
        process.every(HEARTBEAT_INTERVAL_MILLIS, () -> localPeers().forEach(this::sendHeartbeat));
        process.every(REMOTE_HEARTBEAT_INTERVAL_MILLIS, () -> remotePeers().forEach(this::sendHeartbeat));
    }

    SimProcess process() {
        return process;
    }

    DaemonEntry self() {
        return self;
    }

    StoreClient store() {
        return store;
    }

    DaemonDirectory directory() {
        return directory;
    }

    ConfigTable config() {
        return config;
    }

    boolean answered() {
        return answered;
    }

    /** Highest generation that the store or a peer held when it answered. */
    Generation highestSeenGeneration() {
        return highestSeenGeneration;
    }

    Optional<AcceptedRelease> inForce() {
        return context.isDisabled(Mechanism.HIGHEST_GENERATION) ? lastReceivedRelease : config.inForce();
    }

    Generation generation() {
        return inForce().map(AcceptedRelease::generation).orElse(Generation.NONE);
    }

    boolean isRelay() {
        FailureDomain domain = self.failureDomain();
        return RelayAssignment.relays(domain, directory.liveIds(process.clock(), domain))
                .contains(self.daemon());
    }

    /** Sends to the process that runs under a name when the message arrives. */
    void send(DaemonId to, Consumer<Node> atReceiver) {
        context.network().send(self.daemon().value(), to.value(), () -> {
            Node receiver = nodes.get(to);
            receiver.process.run(() -> atReceiver.accept(receiver));
        });
    }

    /** Returns the other daemons of the failure domain. */
    List<DaemonId> localPeers() {
        return nodes.values().stream()
                .map(node -> node.self)
                .filter(entry -> entry.failureDomain().equals(self.failureDomain()))
                .map(DaemonEntry::daemon)
                .filter(daemon -> !daemon.equals(self.daemon()))
                .toList();
    }

    private List<DaemonId> remotePeers() {
        long nowMillis = process.clock();
        Map<FailureDomain, List<DaemonId>> known = directory.known().stream()
                .filter(entry -> !entry.failureDomain().equals(self.failureDomain()))
                .collect(Collectors.groupingBy(
                        DaemonEntry::failureDomain,
                        () -> new TreeMap<>((a, b) -> a.value().compareTo(b.value())),
                        Collectors.mapping(DaemonEntry::daemon, Collectors.toList())));
        inboundPeers.values().removeIf(since -> nowMillis - since > INBOUND_PEER_TTL_MILLIS);
        return Stream.concat(
                        known.entrySet().stream().flatMap(it -> relays(nowMillis, it.getKey(), it.getValue())),
                        inboundPeers.keySet().stream())
                .distinct()
                .toList();
    }

    private Stream<DaemonId> relays(long nowMillis, FailureDomain domain, Collection<DaemonId> known) {
        List<DaemonId> live = directory.liveIds(nowMillis, domain);
        return RelayAssignment.relays(domain, live.isEmpty() ? known : live).stream();
    }

    private void sendHeartbeat(DaemonId peer) {
        Generation held = generation();
        send(peer, receiver -> receiver.receiveHeartbeat(self, held));
    }

    private void receiveHeartbeat(DaemonEntry peer, Generation held) {
        long nowMillis = process.clock();
        if (directory.recordMessage(nowMillis, peer) == DaemonDirectory.Change.REPLACED) {
            return;
        }
        if (!peer.failureDomain().equals(self.failureDomain())) {
            inboundPeers.put(peer.daemon(), nowMillis);
        }
        recordSeenGeneration(held);
        config.recordReported(held);
        if (isRelay() && held.compareTo(generation()) < 0) {
            inForce().ifPresent(release -> sendRelease(peer.daemon(), release));
        }
    }

    private void sendRelease(DaemonId peer, AcceptedRelease release) {
        send(peer, receiver -> receiver.receiveRelease(self, release));
    }

    private void receiveRelease(DaemonEntry peer, AcceptedRelease release) {
        boolean isFar = !peer.failureDomain().equals(self.failureDomain());
        if (offer(release, ConfigSource.PEER) && isFar) {
            localPeers().forEach(daemon -> sendRelease(daemon, release));
        }
    }

    private boolean offer(AcceptedRelease release, ConfigSource source) {
        if (context.isDisabled(Mechanism.HIGHEST_GENERATION)) {
            boolean changed = !lastReceivedRelease.equals(Optional.of(release));
            lastReceivedRelease = Optional.of(release);
            return changed;
        }
        return config.offer(release, source) instanceof ConfigDecision.Adopt;
    }

    private void pollUntilAnswered() {
        readRelease();
        process.after(INITIAL_POLL_INTERVAL_MILLIS, () -> {
            if (!answered) {
                pollUntilAnswered();
            }
        });
    }

    private void watchRelease() {
        if (isRelay()) {
            readRelease();
        }
    }

    private void readRelease() {
        store.read(ReleaseFactory.OBJECT, answer -> {
            if (answer instanceof StoreResponse.Found found) {
                AcceptedRelease release =
                        (AcceptedRelease) StoredObject.from(found.object()).content();
                recordSeenGeneration(release.generation());
                if (offer(release, ConfigSource.STORE)) {
                    nodes.keySet().stream()
                            .filter(daemon -> localPeers().contains(daemon)
                                    || remotePeers().contains(daemon))
                            .forEach(daemon -> sendRelease(daemon, release));
                }
            } else if (answer instanceof StoreResponse.Missing) {
                recordSeenGeneration(Generation.NONE);
            }
        });
    }

    private void recordSeenGeneration(Generation generation) {
        answered = true;
        highestSeenGeneration = generation.compareTo(highestSeenGeneration) > 0 ? generation : highestSeenGeneration;
    }
}
