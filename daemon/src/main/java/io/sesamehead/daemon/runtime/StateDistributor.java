package io.sesamehead.daemon.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.sesamehead.coordination.config.ConfigDecision;
import io.sesamehead.coordination.config.ConfigSource;
import io.sesamehead.daemon.protocol.AssignmentCodec;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.PeerMessages;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.protocol.ReleaseCodec;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.AssignmentUpdate;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ConfigUpdate;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Heartbeat;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.VmUpdate;
import io.sesamehead.daemon.transport.Broadcaster;
import io.sesamehead.daemon.transport.PeerConnection;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.AssignmentTable;
import io.sesamehead.state.Generation;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.Vm;
import io.sesamehead.state.WriteToken;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/**
 * Takes releases, assignments and VM lists from the store and from peers into the tables and passes news on. A relay
 * also sends what a peer lacks, as seen from the peer's heartbeat.
 */
public final class StateDistributor {
    private final DaemonTables tables;
    private final Broadcaster broadcast;
    private final LongSupplier clock;
    private final AtomicLong highestControllerEpoch = new AtomicLong();
    private final WriteToken peerToken;
    private volatile boolean answered;
    private volatile Optional<Frame> releaseFrame = Optional.empty();

    /**
     * Creates the distribution over empty tables.
     *
     * @param tables the tables of this daemon
     * @param broadcast sends to peers
     * @param clock monotonic clock, in milliseconds
     */
    public StateDistributor(DaemonTables tables, Broadcaster broadcast, LongSupplier clock) {
        this.tables = tables;
        this.broadcast = broadcast;
        this.clock = clock;
        this.peerToken = new WriteToken(tables.self().incarnation(), 0);
    }

    /** Records that the store or a peer answered, whatever it said. */
    public void recordAnswer() {
        answered = true;
    }

    /**
     * Tells whether the store or a peer answered since this process started.
     *
     * @return true once one did
     */
    public boolean hasAnswer() {
        return answered;
    }

    /**
     * Takes the release that the store holds and passes it on within this failure domain. The others read the store
     * themselves; one that is cut off from it gets the release from a relay that hears its old generation in a heartbeat.
     * Sending to all relays would cost a relay as many copies again as there are relays elsewhere.
     *
     * @param object the object {@code releases/current}
     * @return content of the release in force when the store holds an older one
     */
    public Optional<JsonNode> onStoredRelease(PlatformObject object) {
        try {
            AcceptedRelease release = ReleaseCodec.decode(object.spec()).release();
            if (adopt(release, Json.bytes(object.spec()), ConfigSource.STORE, "the store")) {
                releaseFrame.ifPresent(broadcast::sendToLocalPeers);
            }
            return releaseNewerThan(release.generation());
        } catch (MalformedMessageException e) {
            Logger.error("config: the release in the store is unreadable: {}", e.getMessage());
            return Optional.empty();
        }
    }

    private Optional<JsonNode> releaseNewerThan(Generation stored) throws MalformedMessageException {
        Optional<ConfigUpdate> newer =
                releaseFrame.map(Frame::getConfigUpdate).filter(update -> update.getGeneration() > stored.value());
        return newer.isPresent() ? Optional.of(Json.parse(newer.get().getNote().toByteArray())) : Optional.empty();
    }

    /**
     * Takes a release that a peer sent. News from another failure domain is passed on within this one.
     *
     * @param connection connection of the peer
     * @param update the release
     */
    public void onPeerRelease(PeerConnection connection, ConfigUpdate update) {
        try {
            byte[] spec = update.getNote().toByteArray();
            AcceptedRelease release = ReleaseCodec.decode(Json.parse(spec)).release();
            boolean adopted =
                    adopt(release, spec, ConfigSource.PEER, connection.peer().getDaemon());
            if (adopted && !broadcast.isLocal(connection)) {
                releaseFrame.ifPresent(broadcast::sendToLocalPeers);
            }
        } catch (MalformedMessageException e) {
            Logger.error("config: a release from {} is unreadable: {}", connection, e.getMessage());
        }
    }

    private boolean adopt(AcceptedRelease release, byte[] spec, ConfigSource source, String origin) {
        ConfigDecision decision = tables.config().offer(release, source);
        switch (decision) {
            case ConfigDecision.Adopt(Generation generation) -> {
                releaseFrame = Optional.of(configFrame(generation, spec));
                Logger.info("config: generation {} is in force, received from {}", generation.value(), origin);
                return true;
            }
            case ConfigDecision.StaleStore(Generation inForce, Generation offered) ->
                Logger.error(
                        "config: ALARM the store holds generation {}, older than generation {} in force; refused",
                        offered.value(),
                        inForce.value());
            case ConfigDecision.Conflicting(Generation generation, ConfigSource from) ->
                Logger.error(
                        "config: ALARM {} offers another content of generation {}; refused",
                        origin,
                        generation.value());
            case ConfigDecision.Ignore() -> Logger.debug("config: {} offers nothing new", origin);
        }
        return false;
    }

    private static Frame configFrame(Generation generation, byte[] spec) {
        return Frame.newBuilder()
                .setConfigUpdate(ConfigUpdate.newBuilder()
                        .setGeneration(generation.value())
                        .setNote(ByteString.copyFrom(spec)))
                .build();
    }

    /**
     * Takes the assignment that the store holds and passes it on if it is new.
     *
     * @param object the object {@code groupassignments/<fd>}
     */
    public void onStoredAssignment(PlatformObject object) {
        try {
            adoptStoredAssignment(AssignmentCodec.decode(object.spec()));
        } catch (MalformedMessageException | IllegalStateException e) {
            Logger.error("group: the assignment in the store is unreadable: {}", e.getMessage());
        }
    }

    /**
     * Takes an assignment that the store is known to hold and passes it on if it is new.
     *
     * @param assignment the assignment
     */
    public void adoptStoredAssignment(GroupAssignment assignment) {
        if (tables.assignments().offer(assignment) == AssignmentTable.OfferResult.ADOPTED) {
            adopted(assignment);
            broadcast.sendToLocalPeers(assignmentFrame(assignment));
        }
    }

    /**
     * Takes an assignment that a peer sent.
     *
     * @param update the assignment
     */
    public void onPeerAssignment(AssignmentUpdate update) {
        try {
            GroupAssignment assignment =
                    AssignmentCodec.decode(Json.parse(update.getGroups().toByteArray()));
            if (tables.assignments().offer(assignment) == AssignmentTable.OfferResult.ADOPTED) {
                adopted(assignment);
            }
        } catch (MalformedMessageException | IllegalStateException e) {
            Logger.error("group: an assignment from a peer is unreadable: {}", e.getMessage());
        }
    }

    private void adopted(GroupAssignment assignment) {
        raiseEpoch(assignment.controllerEpoch());
        String groups = assignment.groups().stream()
                .map(group -> group.id() + " " + group.state())
                .collect(Collectors.joining(", "));
        Logger.info(
                "group: assignment {} of {} under epoch {}: {}",
                assignment.version(),
                assignment.failureDomain(),
                assignment.controllerEpoch(),
                groups.isEmpty() ? "no groups" : groups);
    }

    private Frame assignmentFrame(GroupAssignment assignment) {
        return Frame.newBuilder()
                .setAssignmentUpdate(AssignmentUpdate.newBuilder()
                        .setFailureDomain(assignment.failureDomain().value())
                        .setEpoch(assignment.controllerEpoch())
                        .setVersion(assignment.version())
                        .setGroups(ByteString.copyFrom(Json.bytes(AssignmentCodec.encode(assignment, peerToken)))))
                .build();
    }

    /**
     * Takes the platform's VM list and passes it on if it changed.
     *
     * @param listed VMs of all failure domains
     */
    public void onStoredVms(ImmutableList<Vm> listed) {
        ImmutableList<Vm> own = listed.stream()
                .filter(vm -> vm.failureDomain().equals(tables.failureDomain()))
                .collect(ImmutableList.toImmutableList());
        if (tables.vms().replace(clock.getAsLong(), own)) {
            Logger.info("group: the platform lists {} VMs of {}", own.size(), tables.failureDomain());
            broadcast.sendToLocalPeers(PeerMessages.vms(tables.failureDomain(), own));
        }
    }

    /**
     * Takes a VM list that a peer of this failure domain sent.
     *
     * @param update the list
     */
    public void onPeerVms(VmUpdate update) {
        if (update.getFailureDomain().equals(tables.failureDomain().value())) {
            tables.vms().replace(clock.getAsLong(), PeerMessages.vms(update));
        }
    }

    /**
     * Sends all that this daemon knows to a peer that just connected.
     *
     * @param connection connection of the peer
     */
    public void sendSnapshot(PeerConnection connection) {
        sendDirectory(connection);
        releaseFrame.ifPresent(connection::send);
        if (broadcast.isLocal(connection)) {
            tables.assignments()
                    .assignment(tables.failureDomain())
                    .ifPresent(it -> connection.send(assignmentFrame(it)));
            if (!tables.vms().all().isEmpty()) {
                connection.send(
                        PeerMessages.vms(tables.failureDomain(), tables.vms().all()));
            }
        }
    }

    /**
     * Sends the live daemons to a peer that may know only this one.
     *
     * @param connection connection of the peer
     */
    public void sendDirectory(PeerConnection connection) {
        connection.send(PeerMessages.directory(tables.directory().live(clock.getAsLong())));
    }

    /**
     * Compares a peer's heartbeat with the tables and sends what the peer lacks.
     *
     * @param connection connection of the peer
     * @param heartbeat the heartbeat
     */
    public void onHeartbeat(PeerConnection connection, Heartbeat heartbeat) {
        recordAnswer();
        tables.config().recordReported(new Generation(heartbeat.getConfigGeneration()));
        long assignmentVersion = 0;
        long assignmentEpoch = 0;
        for (var controller : heartbeat.getControllerEpochsList()) {
            if (controller.getFailureDomain().equals(tables.failureDomain().value())) {
                raiseEpoch(controller.getEpoch());
                assignmentEpoch = controller.getEpoch();
                assignmentVersion = controller.getAssignmentVersion();
            }
        }
        boolean lacksRelease =
                heartbeat.getConfigGeneration() < tables.config().generation().value();
        Optional<GroupAssignment> lacking =
                broadcast.isLocal(connection) ? newerAssignment(assignmentEpoch, assignmentVersion) : Optional.empty();
        // Most heartbeats lack nothing, and who is a relay costs a hash of each daemon.
        if ((!lacksRelease && lacking.isEmpty()) || !tables.isRelay(clock.getAsLong())) {
            return;
        }
        if (lacksRelease) {
            releaseFrame.ifPresent(connection::send);
        }
        lacking.ifPresent(assignment -> connection.send(assignmentFrame(assignment)));
    }

    private Optional<GroupAssignment> newerAssignment(long epoch, long version) {
        return tables.assignments()
                .assignment(tables.failureDomain())
                .filter(mine -> mine.controllerEpoch() > epoch
                        || (mine.controllerEpoch() == epoch && mine.version() > version));
    }

    private void raiseEpoch(long epoch) {
        highestControllerEpoch.accumulateAndGet(epoch, Math::max);
    }

    /**
     * Returns the highest controller epoch of this failure domain that any source reported.
     *
     * @return the epoch, 0 for none
     */
    public long highestControllerEpoch() {
        return highestControllerEpoch.get();
    }
}
