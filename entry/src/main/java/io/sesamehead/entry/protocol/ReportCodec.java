package io.sesamehead.entry.protocol;

import com.google.common.collect.ImmutableMap;
import com.google.protobuf.InvalidProtocolBufferException;
import io.sesamehead.coordination.dispatch.CallFingerprint;
import io.sesamehead.coordination.dispatch.CrashReport;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetReport;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.replica.LeavingUpstreams;
import io.sesamehead.entry.protocol.generated.CrashedRequest;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.entry.protocol.generated.LeavingUpstream;
import io.sesamehead.entry.protocol.generated.ModelLoad;
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

/** Converts reports between daemons. */
public final class ReportCodec {
    /** Reports do not carry the lease's time to live; the receiver knows it. */
    private static final long UNKNOWN_TTL = 0;

    private ReportCodec() {}

    /**
     * Reads a datagram.
     *
     * @param bytes its content
     * @return the report, or empty if it cannot be read
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
     * Reads the loads of a report.
     *
     * @param report the report
     * @return one row for each target
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
     * Reads the holder of the controller lease that a report tells of.
     *
     * @param report the report
     * @return the lease without its time, or empty if the report names none
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
     * Writes the holder of the controller lease.
     *
     * @param report the report under way
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
     * Writes counts of refused calls.
     *
     * @param refused counts by model
     * @return the messages
     */
    public static List<ModelLoad> encodeRefusals(Map<String, Integer> refused) {
        List<ModelLoad> loads = new ArrayList<>();
        refused.forEach((model, count) -> loads.add(
                ModelLoad.newBuilder().setModel(model).setRefused(count).build()));
        return loads;
    }

    /**
     * Reads what a report tells of crashes.
     *
     * @param report the report
     * @return one row for each request
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
            rows.add(new CrashReport(
                    new CallFingerprint(crashed.getFingerprint()), ImmutableMap.copyOf(ages), completed));
        }
        return rows;
    }

    /**
     * Writes what is known of a request's crashes.
     *
     * @param row the row
     * @return the message
     */
    public static CrashedRequest encodeCrash(CrashReport row) {
        CrashedRequest.Builder crashed =
                CrashedRequest.newBuilder().setFingerprint(row.request().value());
        row.ageMillisByCrash()
                .forEach((target, age) -> crashed.addTargets(target).addAgesMillis(age));
        row.completedAgeMillis().ifPresent(age -> crashed.setCompletedAge(age + 1));
        return crashed.build();
    }

    /**
     * Reads which upstreams a report says to leave.
     *
     * @param report the report
     * @return lives of upstreams
     */
    public static List<LeavingUpstreams.UpstreamIncarnation> leaving(DaemonReport report) {
        return report.getLeavingList().stream()
                .filter(upstream -> !upstream.getName().isBlank())
                .map(upstream -> new LeavingUpstreams.UpstreamIncarnation(
                        new InstanceId(upstream.getName()), upstream.getStartedAtMillis()))
                .toList();
    }

    /**
     * Writes that an upstream leaves.
     *
     * @param life the upstream in its present life
     * @return the message
     */
    public static LeavingUpstream leaving(LeavingUpstreams.UpstreamIncarnation life) {
        return LeavingUpstream.newBuilder()
                .setName(life.upstream().value())
                .setStartedAtMillis(life.startedAtEpochMillis())
                .build();
    }

    /**
     * Writes a load.
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
