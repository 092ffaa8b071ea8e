package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.drain.DrainTable;
import io.sesamehead.coordination.drain.LeavingSource;
import io.sesamehead.daemon.protocol.PeerMessages;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Digest;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Evidence;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.transport.Broadcaster;
import io.sesamehead.daemon.transport.PeerConnection;
import io.sesamehead.state.AgedEvidence;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Evidence.Reported;
import io.sesamehead.state.EvidenceTable;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.VmId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Exchanges evidence with the peers of the failure domain. A report is sent in full when it changes, on a new
 * connection and after a dropped frame; otherwise a digest confirms the report with the same change number. The monitor
 * of this object guards the change numbers; the evidence table (lock order 3) is read before the monitor is entered.
 */
public final class EvidenceExchange {
    private final EvidenceTable table;
    private final DrainTable drain;
    private final Broadcaster broadcast;
    private final LongSupplier clock;
    private final Map<VmId, NumberedReport> sentReports = new HashMap<>();
    private final Set<PeerConnection> syncedConnections = new HashSet<>();
    private final Map<PeerConnection, Map<String, NumberedReport>> received = new ConcurrentHashMap<>();
    private long lastChangeNumber;

    private record NumberedReport(Optional<MemberReport> report, long change) {}

    /**
     * Creates an exchange that has sent and received no reports.
     *
     * @param table the evidence table
     * @param drain records which engines report that they are leaving
     * @param broadcast sends to peers
     * @param clock monotonic clock, in milliseconds
     */
    public EvidenceExchange(EvidenceTable table, DrainTable drain, Broadcaster broadcast, LongSupplier clock) {
        this.table = table;
        this.drain = drain;
        this.broadcast = broadcast;
        this.clock = clock;
    }

    /** Sends the changed reports of this daemon's probes to the failure domain. */
    public void sendChanged() {
        ImmutableList<AgedEvidence> changed = table.takeChanged(clock.getAsLong());
        if (changed.isEmpty()) {
            return;
        }
        Evidence.Builder message = Evidence.newBuilder();
        synchronized (this) {
            changed.forEach(evidence -> message.addReports(PeerMessages.report(evidence, changeNumber(evidence))));
        }
        broadcast.sendToLocalPeers(Frame.newBuilder().setEvidence(message).build());
    }

    /**
     * Sends a digest of the VMs that this daemon probes. Reports that are new to a peer are sent in full.
     *
     * @param probed VMs that this daemon probes
     */
    public void sendDigest(Collection<VmId> probed) {
        ImmutableList<AgedEvidence> items = table.digest(clock.getAsLong(), probed);
        if (items.isEmpty()) {
            return;
        }
        Evidence.Builder full = Evidence.newBuilder();
        Evidence.Builder incremental = Evidence.newBuilder();
        synchronized (this) {
            sentReports.keySet().retainAll(Set.copyOf(probed));
            syncedConnections.removeIf(connection -> !connection.active());
            for (AgedEvidence item : items) {
                NumberedReport before = sentReports.get(item.vm());
                long change = changeNumber(item);
                full.addReports(PeerMessages.report(item, change));
                if (before != null && before.change() == change) {
                    incremental.addDigest(digest(item, change));
                } else {
                    incremental.addReports(PeerMessages.report(item, change));
                }
            }
        }
        Frame fullFrame = Frame.newBuilder().setEvidence(full).build();
        Frame incrementalFrame = Frame.newBuilder().setEvidence(incremental).build();
        for (PeerConnection connection : broadcast.localPeers()) {
            connection.send(markSynced(connection) ? incrementalFrame : fullFrame);
        }
    }

    /** Returns whether the peer has received all earlier reports, and marks the connection as synced. */
    private synchronized boolean markSynced(PeerConnection connection) {
        boolean dropped = connection.testAndClearDropped();
        return !syncedConnections.add(connection) && !dropped;
    }

    /** Returns the change number of the report; load figures and ages do not count as changes. */
    private long changeNumber(AgedEvidence evidence) {
        Optional<MemberReport> content = evidence.report().map(report -> withLoad(report, 0, 0, 0));
        NumberedReport before = sentReports.get(evidence.vm());
        if (before != null && before.report().equals(content)) {
            return before.change();
        }
        lastChangeNumber++;
        sentReports.put(evidence.vm(), new NumberedReport(content, lastChangeNumber));
        return lastChangeNumber;
    }

    private static Digest digest(AgedEvidence evidence, long change) {
        Digest.Builder digest = Digest.newBuilder()
                .setVm(evidence.vm().value())
                .setChange(change)
                .setObservedAgeMillis(PeerMessages.clampToInt(evidence.ageMillis()));
        evidence.report()
                .ifPresent(report -> digest.setInFlight(report.inFlight())
                        .setQueued(report.queued())
                        .setReportAgeMillis(PeerMessages.clampToInt(report.reportAgeMillis())));
        return digest.build();
    }

    /**
     * Merges evidence from a peer. Ignores a digest of a report that was not received on this connection.
     *
     * @param connection connection of the peer
     * @param message the evidence
     */
    public void receive(PeerConnection connection, Evidence message) {
        long nowMillis = clock.getAsLong();
        Map<String, NumberedReport> known = received.computeIfAbsent(connection, ignored -> new ConcurrentHashMap<>());
        ImmutableList.Builder<AgedEvidence> items = ImmutableList.builder();
        message.getReportsList().forEach(report -> {
            AgedEvidence evidence = PeerMessages.evidence(report);
            known.put(report.getVm(), new NumberedReport(evidence.report(), report.getChange()));
            items.add(evidence);
        });
        message.getDigestList().forEach(digest -> {
            NumberedReport numbered = known.get(digest.getVm());
            if (numbered != null && numbered.change() == digest.getChange()) {
                items.add(refreshed(numbered, digest));
            }
        });
        ImmutableList<AgedEvidence> evidence = items.build();
        table.merge(nowMillis, new DaemonId(connection.peer().getDaemon()), evidence);
        evidence.forEach(item -> observeLeaving(nowMillis, item.vm()));
    }

    /**
     * Passes the leaving state of an engine's newest report to the drain table. Reads it from the evidence table, which
     * rejects older reports, so that an older report cannot clear a leaving mark.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param vm VM of the engine
     */
    public void observeLeaving(long nowMillis, VmId vm) {
        if (table.evidence(vm).orElse(null) instanceof Reported(MemberReport report, long ignored)) {
            drain.observe(nowMillis, vm, LeavingSource.UPSTREAM_STATUS, report.state() == EngineState.LEAVING);
        }
    }

    private static AgedEvidence refreshed(NumberedReport numbered, Digest digest) {
        Optional<MemberReport> report = numbered.report()
                .map(it -> withLoad(it, digest.getInFlight(), digest.getQueued(), digest.getReportAgeMillis()));
        return new AgedEvidence(new VmId(digest.getVm()), report, digest.getObservedAgeMillis());
    }

    private static MemberReport withLoad(MemberReport it, int inFlight, int queued, long reportAgeMillis) {
        return new MemberReport(
                it.vm(),
                it.engine(),
                it.group(),
                it.epoch(),
                it.state(),
                it.model(),
                inFlight,
                queued,
                reportAgeMillis);
    }

    /**
     * Discards the state of a closed connection.
     *
     * @param connection the closed connection
     */
    public void disconnected(PeerConnection connection) {
        received.remove(connection);
        synchronized (this) {
            syncedConnections.remove(connection);
        }
    }
}
