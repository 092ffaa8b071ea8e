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
 * connection and after a dropped frame; otherwise a digest says that the report with the same change number was seen
 * again. Its monitor guards the change numbers; the evidence table (place 3) is read before it is taken.
 */
public final class EvidenceExchange {
    private final EvidenceTable table;
    private final DrainTable drain;
    private final Broadcaster broadcast;
    private final LongSupplier clock;
    private final Map<VmId, Numbered> sent = new HashMap<>();
    private final Set<PeerConnection> informed = new HashSet<>();
    private final Map<PeerConnection, Map<String, Numbered>> received = new ConcurrentHashMap<>();
    private long lastChange;

    private record Numbered(Optional<MemberReport> report, long change) {}

    /**
     * Creates an exchange without history.
     *
     * @param table the evidence table
     * @param drain learns which engines report that they are leaving
     * @param broadcast sends to peers
     * @param clock monotonic clock, in milliseconds
     */
    public EvidenceExchange(EvidenceTable table, DrainTable drain, Broadcaster broadcast, LongSupplier clock) {
        this.table = table;
        this.drain = drain;
        this.broadcast = broadcast;
        this.clock = clock;
    }

    /** Sends the reports of this daemon's probes that changed. */
    public void sendChanged() {
        ImmutableList<AgedEvidence> changed = table.takeChanged(clock.getAsLong());
        if (changed.isEmpty()) {
            return;
        }
        Evidence.Builder message = Evidence.newBuilder();
        synchronized (this) {
            changed.forEach(evidence -> message.addReports(PeerMessages.report(evidence, number(evidence))));
        }
        broadcast.sendToLocalPeers(Frame.newBuilder().setEvidence(message).build());
    }

    /**
     * Sends a digest of the VMs that this daemon probes.
     *
     * @param probed the VMs
     */
    public void sendDigest(Collection<VmId> probed) {
        ImmutableList<AgedEvidence> items = table.digest(clock.getAsLong(), probed);
        if (items.isEmpty()) {
            return;
        }
        Evidence.Builder full = Evidence.newBuilder();
        Evidence.Builder brief = Evidence.newBuilder();
        synchronized (this) {
            sent.keySet().retainAll(Set.copyOf(probed));
            informed.removeIf(connection -> !connection.active());
            for (AgedEvidence item : items) {
                Numbered before = sent.get(item.vm());
                long change = number(item);
                full.addReports(PeerMessages.report(item, change));
                if (before != null && before.change() == change) {
                    brief.addDigest(digest(item, change));
                } else {
                    brief.addReports(PeerMessages.report(item, change));
                }
            }
        }
        Frame fullFrame = Frame.newBuilder().setEvidence(full).build();
        Frame briefFrame = Frame.newBuilder().setEvidence(brief).build();
        for (PeerConnection connection : broadcast.localPeers()) {
            connection.send(knowsNumbers(connection) ? briefFrame : fullFrame);
        }
    }

    private synchronized boolean knowsNumbers(PeerConnection connection) {
        boolean dropped = connection.testAndClearDropped();
        return !informed.add(connection) && !dropped;
    }

    private long number(AgedEvidence evidence) {
        Optional<MemberReport> content = evidence.report().map(report -> withLoad(report, 0, 0, 0));
        Numbered before = sent.get(evidence.vm());
        if (before != null && before.report().equals(content)) {
            return before.change();
        }
        lastChange++;
        sent.put(evidence.vm(), new Numbered(content, lastChange));
        return lastChange;
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
     * Merges evidence that a peer sent. A digest of a report that was not received is ignored.
     *
     * @param connection connection of the peer
     * @param message the evidence
     */
    public void receive(PeerConnection connection, Evidence message) {
        long nowMillis = clock.getAsLong();
        Map<String, Numbered> known = received.computeIfAbsent(connection, ignored -> new ConcurrentHashMap<>());
        ImmutableList.Builder<AgedEvidence> items = ImmutableList.builder();
        message.getReportsList().forEach(report -> {
            AgedEvidence evidence = PeerMessages.evidence(report);
            known.put(report.getVm(), new Numbered(evidence.report(), report.getChange()));
            items.add(evidence);
        });
        message.getDigestList().forEach(digest -> {
            Numbered numbered = known.get(digest.getVm());
            if (numbered != null && numbered.change() == digest.getChange()) {
                items.add(repeated(numbered, digest));
            }
        });
        ImmutableList<AgedEvidence> evidence = items.build();
        table.merge(nowMillis, new DaemonId(connection.peer().getDaemon()), evidence);
        evidence.forEach(item -> observeLeaving(nowMillis, item.vm()));
    }

    /**
     * Tells the drain table what the newest report of an engine says. An older report, which the evidence table does not
     * take, must not clear a leaving mark.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param vm VM of the engine
     */
    public void observeLeaving(long nowMillis, VmId vm) {
        if (table.evidence(vm).orElse(null) instanceof Reported(MemberReport report, long ignored)) {
            drain.observe(nowMillis, vm, LeavingSource.UPSTREAM_STATUS, report.state() == EngineState.LEAVING);
        }
    }

    private static AgedEvidence repeated(Numbered numbered, Digest digest) {
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
     * Forgets a connection.
     *
     * @param connection the connection
     */
    public void disconnected(PeerConnection connection) {
        received.remove(connection);
        synchronized (this) {
            informed.remove(connection);
        }
    }
}
