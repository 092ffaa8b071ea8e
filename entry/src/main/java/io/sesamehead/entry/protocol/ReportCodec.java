package io.sesamehead.entry.protocol;

import com.google.common.collect.ImmutableMap;
import com.google.protobuf.InvalidProtocolBufferException;
import io.sesamehead.coordination.dispatch.CrashReport;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.RefusedConnections;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetReport;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.replica.LeavingUpstreams;
import io.sesamehead.entry.protocol.generated.CrashedRequest;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.entry.protocol.generated.LeavingUpstream;
import io.sesamehead.entry.protocol.generated.ModelLoad;
import io.sesamehead.entry.protocol.generated.RefusedTarget;
import io.sesamehead.entry.protocol.generated.TargetLoad;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Encodes and decodes the reports that daemons exchange. */
public final class ReportCodec {
    /** Placeholder for the lease's time to live, which reports omit because the receiver has it already. */
    private static final long UNKNOWN_TTL = 0;

    private ReportCodec() {}

    /**
     * Decodes a datagram.
     *
     * @param bytes datagram payload
     * @return the report, or empty if it is malformed
     */
    public static Optional<DaemonReport> decode(byte[] bytes) {
        try {
            return Optional.of(DaemonReport.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            // The caller logs the loss; the sender reports again within a fraction of a second.
            return Optional.empty();
        }
    }

    /**
     * Decodes the target loads of a report.
     *
     * @param report the report
     * @return one entry per target
     */
    public static List<TargetReport> decodeLoads(DaemonReport report) {
        List<TargetReport> rows = new ArrayList<>(report.getTargetsCount());
        for (TargetLoad load : report.getTargetsList()) {
            TargetKey key = new TargetKey(load.getName(), load.getGeneration());
            rows.add(new TargetReport(key, load.getInFlight(), load.getSilentMillis(), load.getSuspected()));
        }
        return rows;
    }

    /**
     * Decodes the controller lease of a report, whether held by the sender or relayed.
     *
     * @param report the report
     * @return the lease without its time to live, or empty if the report has none
     */
    public static Optional<Lease> decodeLease(DaemonReport report) {
        if (report.getLeaseEpoch() == 0) {
            return Optional.empty();
        }
        boolean relayed = !report.getLeaseHolder().isEmpty();
        return Optional.of(new Lease(
                new DaemonId(relayed ? report.getLeaseHolder() : report.getDaemon()),
                new Incarnation(relayed ? report.getLeaseHolderIncarnation() : report.getIncarnation()),
                report.getLeaseEpoch(),
                UNKNOWN_TTL,
                report.getLeaseRenewals()));
    }

    /**
     * Adds the controller lease to a report.
     *
     * @param report the report being built
     * @param held the lease
     */
    public static void encodeLease(DaemonReport.Builder report, Lease held) {
        report.setLeaseEpoch(held.epoch()).setLeaseRenewals(held.renewals());
        if (!held.holder().value().equals(report.getDaemon())) {
            report.setLeaseHolder(held.holder().value())
                    .setLeaseHolderIncarnation(held.holderIncarnation().value());
        }
    }

    /**
     * Encodes the numbers of refused calls.
     *
     * @param refused number of refused calls by model
     * @return the messages
     */
    public static List<ModelLoad> encodeRefusals(Map<String, Integer> refused) {
        List<ModelLoad> loads = new ArrayList<>();
        refused.forEach((model, count) -> loads.add(
                ModelLoad.newBuilder().setModel(model).setRefused(count).build()));
        return loads;
    }

    /**
     * Decodes the crash reports of a report.
     *
     * @param report the report
     * @return one entry per request
     */
    public static List<CrashReport> decodeCrashes(DaemonReport report) {
        List<CrashReport> rows = new ArrayList<>(report.getCrashedCount());
        for (CrashedRequest crashed : report.getCrashedList()) {
            Map<Long, Long> ages = new HashMap<>();
            int targets = Math.min(crashed.getTargetsCount(), crashed.getAgesMillisCount());
            for (int i = 0; i < targets; i++) {
                ages.put(crashed.getTargets(i), Math.max(0, crashed.getAgesMillis(i)));
            }
            OptionalLong completed = crashed.getCompletedAge() > 0
                    ? OptionalLong.of(crashed.getCompletedAge() - 1)
                    : OptionalLong.empty();
            rows.add(new CrashReport(new CrashSubject(crashed.getFingerprint()), ImmutableMap.copyOf(ages), completed));
        }
        return rows;
    }

    /**
     * Encodes the crashes of a request.
     *
     * @param row the crash report
     * @return the message
     */
    public static CrashedRequest encodeCrash(CrashReport row) {
        CrashedRequest.Builder crashed =
                CrashedRequest.newBuilder().setFingerprint(row.subject().value());
        row.ageMillisByCrash()
                .forEach((target, age) -> crashed.addTargets(target).addAgesMillis(age));
        row.completedAgeMillis().ifPresent(age -> crashed.setCompletedAge(age + 1));
        return crashed.build();
    }

    /**
     * Decodes the refused connections of a report.
     *
     * @param report the report
     * @return one entry per target
     */
    public static List<RefusedConnections.Refusal> decodeRefusedTargets(DaemonReport report) {
        List<RefusedConnections.Refusal> rows = new ArrayList<>(report.getRefusedCount());
        for (RefusedTarget refused : report.getRefusedList()) {
            Map<Long, Long> ages = new HashMap<>();
            int daemons = Math.min(refused.getDaemonsCount(), refused.getAgesMillisCount());
            for (int i = 0; i < daemons; i++) {
                ages.put(refused.getDaemons(i), refused.getAgesMillis(i));
            }
            TargetKey target = new TargetKey(refused.getName(), refused.getGeneration());
            rows.add(new RefusedConnections.Refusal(target, ImmutableMap.copyOf(ages)));
        }
        return rows;
    }

    /**
     * Encodes the refused connections of a target.
     *
     * @param row the target and the daemons
     * @return the message
     */
    public static RefusedTarget encodeRefusedTarget(RefusedConnections.Refusal row) {
        RefusedTarget.Builder refused = RefusedTarget.newBuilder()
                .setName(row.target().name())
                .setGeneration(row.target().generation());
        row.ageMillisByDaemon()
                .forEach((daemon, age) -> refused.addDaemons(daemon).addAgesMillis(age));
        return refused.build();
    }

    /**
     * Decodes the upstreams that a report lists as leaving.
     *
     * @param report the report
     * @return the incarnations of the leaving upstreams
     */
    public static List<LeavingUpstreams.UpstreamIncarnation> leaving(DaemonReport report) {
        return report.getLeavingList().stream()
                .filter(upstream -> !upstream.getName().isBlank())
                .map(upstream -> new LeavingUpstreams.UpstreamIncarnation(
                        new InstanceId(upstream.getName()), upstream.getStartedAtMillis()))
                .toList();
    }

    /**
     * Encodes a leaving upstream.
     *
     * @param incarnation the current incarnation of the upstream
     * @return the message
     */
    public static LeavingUpstream leaving(LeavingUpstreams.UpstreamIncarnation incarnation) {
        return LeavingUpstream.newBuilder()
                .setName(incarnation.upstream().value())
                .setStartedAtMillis(incarnation.startedAtEpochMillis())
                .build();
    }

    /**
     * Encodes the load of a target.
     *
     * @param row the load
     * @return the message
     */
    public static TargetLoad encodeLoad(TargetReport row) {
        return TargetLoad.newBuilder()
                .setName(row.key().name())
                .setGeneration(row.key().generation())
                .setInFlight(row.inFlight())
                .setSilentMillis((int) Math.min(Integer.MAX_VALUE, Math.max(0, row.silentMillis())))
                .setSuspected(row.suspected())
                .build();
    }
}
