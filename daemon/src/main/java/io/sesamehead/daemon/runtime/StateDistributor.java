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
 * Merges releases, assignments and VM lists from the store and from peers into the tables and distributes new versions
 * to peers. A relay also sends updates that a peer's heartbeat shows to be missing.
 */
public final class StateDistributor {
    private final DaemonTables tables;
    private final Broadcaster broadcast;
    private final LongSupplier clock;
    private final AtomicLong highestControllerEpoch = new AtomicLong();
    private final WriteToken peerToken;
    private volatile boolean answerReceived;
    private volatile Optional<Frame> releaseFrame = Optional.empty();

    /**
     * Creates a distributor that has received no state.
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

    /** Records that the store or a peer has answered, regardless of the content. */
    public void recordAnswer() {
        answerReceived = true;
    }

    /**
     * Returns whether the store or a peer has answered since this process started.
     *
     * @return true after the first answer
     */
    public boolean hasAnswer() {
        return answerReceived;
    }

    /**
     * Merges the stored release and distributes it within this failure domain. Other failure domains read the store
     * themselves; one that is partitioned from the store receives the release from a relay that sees the old generation
     * in its heartbeats. Sending to all relays would add one copy per relay of every other failure domain.
     *
     * @param object the object {@code releases/current}
     * @return content of the release in force if the store holds an older one, otherwise empty
     */
    public Optional<JsonNode> onStoredRelease(PlatformObject object) {
        try {
            AcceptedRelease release = ReleaseCodec.decode(object.spec()).release();
            if (adopt(release, Json.bytes(object.spec()), ConfigSource.STORE, "the store")) {
                releaseFrame.ifPresent(broadcast::sendToLocalPeers);
            }
            return releaseNewerThan(release.generation());
        } catch (MalformedMessageException e) {
            Logger.error("config: cannot decode the release in the store: {}", e.getMessage());
            return Optional.empty();
        }
    }

    private Optional<JsonNode> releaseNewerThan(Generation stored) throws MalformedMessageException {
        Optional<ConfigUpdate> newer =
                releaseFrame.map(Frame::getConfigUpdate).filter(update -> update.getGeneration() > stored.value());
        return newer.isPresent() ? Optional.of(Json.parse(newer.get().getNote().toByteArray())) : Optional.empty();
    }

    /**
     * Merges a release from a peer. A new release from another failure domain is distributed within this one.
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
            Logger.error("config: cannot decode a release from {}: {}", connection, e.getMessage());
        }
    }

    private boolean adopt(AcceptedRelease release, byte[] spec, ConfigSource source, String origin) {
        ConfigDecision decision = tables.config().offer(release, source);
        switch (decision) {
            case ConfigDecision.Adopt(Generation generation) -> {
                releaseFrame = Optional.of(configFrame(generation, spec));
                Logger.info("config: generation {} from {} is in force", generation.value(), origin);
                return true;
            }
            case ConfigDecision.StaleStore(Generation inForce, Generation offered) ->
                Logger.error(
                        "config: ALARM refused stale generation {} from the store; generation {} is in force",
                        offered.value(),
                        inForce.value());
            case ConfigDecision.Conflicting(Generation generation, ConfigSource from) ->
                Logger.error(
                        "config: ALARM refused a release from {}: generation {} has different content",
                        origin,
                        generation.value());
            case ConfigDecision.Ignore() -> Logger.debug("config: no new release from {}", origin);
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
     * Merges the stored assignment and distributes it within this failure domain if it is new.
     *
     * @param object the object {@code groupassignments/<fd>}
     */
    public void onStoredAssignment(PlatformObject object) {
        try {
            adoptStoredAssignment(AssignmentCodec.decode(object.spec()));
        } catch (MalformedMessageException | IllegalStateException e) {
            Logger.error("group: cannot decode the assignment in the store: {}", e.getMessage());
        }
    }

    /**
     * Merges an assignment that is known to be stored and distributes it within this failure domain if it is new.
     *
     * @param assignment the assignment
     */
    public void adoptStoredAssignment(GroupAssignment assignment) {
        if (tables.assignments().offer(assignment) == AssignmentTable.OfferResult.ADOPTED) {
            recordAdopted(assignment);
            broadcast.sendToLocalPeers(assignmentFrame(assignment));
        }
    }

    /**
     * Merges an assignment from a peer without distributing it further.
     *
     * @param update the assignment
     */
    public void onPeerAssignment(AssignmentUpdate update) {
        try {
            GroupAssignment assignment =
                    AssignmentCodec.decode(Json.parse(update.getGroups().toByteArray()));
            if (tables.assignments().offer(assignment) == AssignmentTable.OfferResult.ADOPTED) {
                recordAdopted(assignment);
            }
        } catch (MalformedMessageException | IllegalStateException e) {
            Logger.error("group: cannot decode an assignment from a peer: {}", e.getMessage());
        }
    }

    private void recordAdopted(GroupAssignment assignment) {
        raiseEpoch(assignment.controllerEpoch());
        String groups = assignment.groups().stream()
                .map(group -> group.id() + " " + group.state())
                .collect(Collectors.joining(", "));
        Logger.info(
                "group: adopted assignment {} of {} in epoch {}: {}",
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
     * Replaces the VM list with the platform's and distributes it within this failure domain if it changed.
     *
     * @param listed VMs of all failure domains
     */
    public void onStoredVms(ImmutableList<Vm> listed) {
        ImmutableList<Vm> own = listed.stream()
                .filter(vm -> vm.failureDomain().equals(tables.failureDomain()))
                .collect(ImmutableList.toImmutableList());
        if (tables.vms().replace(clock.getAsLong(), own)) {
            Logger.info("group: the platform lists {} VMs in {}", own.size(), tables.failureDomain());
            broadcast.sendToLocalPeers(PeerMessages.vms(tables.failureDomain(), own));
        }
    }

    /**
     * Replaces the VM list with a peer's. Ignores lists of other failure domains.
     *
     * @param update the list
     */
    public void onPeerVms(VmUpdate update) {
        if (update.getFailureDomain().equals(tables.failureDomain().value())) {
            tables.vms().replace(clock.getAsLong(), PeerMessages.vms(update));
        }
    }

    /**
     * Sends the directory and release, and within the failure domain also the assignment and VM list, to a new peer.
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
     * Sends the live daemons to a peer whose directory may contain only this daemon.
     *
     * @param connection connection of the peer
     */
    public void sendDirectory(PeerConnection connection) {
        connection.send(PeerMessages.directory(tables.directory().live(clock.getAsLong())));
    }

    /**
     * Compares a peer's heartbeat with the tables and, on a relay, sends newer state that the peer is missing.
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
        boolean releaseMissing =
                heartbeat.getConfigGeneration() < tables.config().generation().value();
        Optional<GroupAssignment> missing =
                broadcast.isLocal(connection) ? newerAssignment(assignmentEpoch, assignmentVersion) : Optional.empty();
        // Checked before isRelay, which hashes every daemon; most peers are up to date.
        if ((!releaseMissing && missing.isEmpty()) || !tables.isRelay(clock.getAsLong())) {
            return;
        }
        if (releaseMissing) {
            releaseFrame.ifPresent(connection::send);
        }
        missing.ifPresent(assignment -> connection.send(assignmentFrame(assignment)));
    }

    private Optional<GroupAssignment> newerAssignment(long epoch, long version) {
        return tables.assignments()
                .assignment(tables.failureDomain())
                .filter(own ->
                        own.controllerEpoch() > epoch || (own.controllerEpoch() == epoch && own.version() > version));
    }

    private void raiseEpoch(long epoch) {
        highestControllerEpoch.accumulateAndGet(epoch, Math::max);
    }

    /**
     * Returns the highest controller epoch of this failure domain that any source reported.
     *
     * @return the epoch, or 0 if none was reported
     */
    public long highestControllerEpoch() {
        return highestControllerEpoch.get();
    }
}
