package io.sesamehead.entry.protocol;

import com.google.common.collect.ImmutableMap;
import com.google.protobuf.InvalidProtocolBufferException;
import io.sesamehead.coordination.dispatch.CrashReport;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.RateLimitUsage;
import io.sesamehead.coordination.dispatch.RefusedConnections;
import io.sesamehead.coordination.dispatch.StatedRateLimits;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetReport;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.replica.LeavingUpstreams;
import io.sesamehead.entry.protocol.generated.CrashedRequest;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.entry.protocol.generated.LeavingUpstream;
import io.sesamehead.entry.protocol.generated.ModelLoad;
import io.sesamehead.entry.protocol.generated.RateLimit;
import io.sesamehead.entry.protocol.generated.RefusedTarget;
import io.sesamehead.entry.protocol.generated.ServiceArrivals;
import io.sesamehead.entry.protocol.generated.TargetLoad;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/** Encodes and decodes the reports that daemons exchange. */
public final class ReportCodec {
    /** Largest time since an event that is taken from a report, in milliseconds. */
    private static final long MAX_AGE_MILLIS = Integer.MAX_VALUE;
    /** Largest number of calls that is taken from a report. Sums over all daemons stay in the range of an int. */
    private static final int MAX_CALLS = 1_000_000;
    /** Placeholder for the lease's time to live, which reports omit because the receiver has it already. */
    private static final long UNKNOWN_TTL = 0;

    private ReportCodec() {}

    /**
     * Decodes a datagram.
     *
     * @param bytes datagram payload
     * @return the report, or empty if it is malformed or does not name its sender
     */
    public static Optional<DaemonReport> decode(byte[] bytes) {
        try {
            DaemonReport report = DaemonReport.parseFrom(bytes);
            boolean valid = !report.getDaemon().isBlank() && isCount(report.getDaemons());
            return valid ? Optional.of(report) : Optional.empty();
        } catch (InvalidProtocolBufferException e) {
            // The caller logs the loss; the sender reports again within a fraction of a second.
            return Optional.empty();
        }
    }

    /**
     * Decodes the target loads of a report. Invalid ones are left out, and their targets are reported again soon.
     *
     * @param report the report
     * @return one entry per target
     */
    public static List<TargetReport> decodeLoads(DaemonReport report) {
        List<TargetReport> rows = new ArrayList<>(report.getTargetsCount());
        for (TargetLoad load : report.getTargetsList()) {
            if (!load.getName().isBlank() && isCount(load.getInFlight()) && load.getSilentMillis() >= 0) {
                TargetKey key = new TargetKey(load.getName(), load.getGeneration());
                rows.add(new TargetReport(key, load.getInFlight(), load.getSilentMillis(), load.getSuspected()));
            }
        }
        return rows;
    }

    private static boolean isCount(int value) {
        return value >= 0 && value <= MAX_CALLS;
    }

    /**
     * Decodes the numbers of refused calls of a report. Invalid ones are left out.
     *
     * @param report the report
     * @return number of refused calls by model
     */
    public static Map<String, Integer> decodeRefusals(DaemonReport report) {
        Map<String, Integer> refused = new HashMap<>();
        for (ModelLoad load : report.getModelsList()) {
            if (isCount(load.getRefused())) {
                refused.merge(load.getModel(), load.getRefused(), Integer::sum);
            }
        }
        return refused;
    }

    /**
     * Decodes the controller lease of a report, whether held by the sender or relayed.
     *
     * @param report the report
     * @return the lease without its time to live, or empty if the report has none or an invalid one
     */
    public static Optional<Lease> decodeLease(DaemonReport report) {
        boolean relayed = !report.getLeaseHolder().isEmpty();
        String holder = relayed ? report.getLeaseHolder() : report.getDaemon();
        if (report.getLeaseEpoch() <= 0 || report.getLeaseRenewals() < 0 || holder.isBlank()) {
            return Optional.empty();
        }
        return Optional.of(new Lease(
                new DaemonId(holder),
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
            long completedAge = crashed.getCompletedAge() - 1;
            OptionalLong completed = isAge(completedAge) ? OptionalLong.of(completedAge) : OptionalLong.empty();
            rows.add(new CrashReport(
                    new CrashSubject(crashed.getFingerprint()),
                    ages(crashed.getTargetsList(), crashed.getAgesMillisList()),
                    completed,
                    ages(crashed.getSurvivorsList(), crashed.getSurvivorAgesMillisList())));
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
        row.survivorAgeMillisByCrash()
                .forEach((target, age) -> crashed.addSurvivors(target).addSurvivorAgesMillis(age));
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
            TargetKey target = new TargetKey(refused.getName(), refused.getGeneration());
            rows.add(new RefusedConnections.Refusal(
                    target, ages(refused.getDaemonsList(), refused.getAgesMillisList())));
        }
        return rows;
    }

    /** Joins the hashes of a report with their ages, without those whose age is missing or invalid. */
    private static ImmutableMap<Long, Long> ages(List<Long> hashes, List<Long> agesMillis) {
        Map<Long, Long> ages = new HashMap<>();
        for (int i = 0; i < Math.min(hashes.size(), agesMillis.size()); i++) {
            if (isAge(agesMillis.get(i))) {
                ages.put(hashes.get(i), agesMillis.get(i));
            }
        }
        return ImmutableMap.copyOf(ages);
    }

    private static boolean isAge(long millis) {
        return millis >= 0 && millis <= MAX_AGE_MILLIS;
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
     * Adds the rate limits that the sender knows and the usage of the daemons for which the report speaks.
     *
     * @param report the report being built
     * @param limits the statements of upstreams
     * @param usage requests sent and calls arrived
     */
    public static void encodeRateLimits(
            DaemonReport.Builder report, List<StatedRateLimits.Report> limits, RateLimitUsage usage) {
        for (StatedRateLimits.Report row : limits) {
            report.addLimits(RateLimit.newBuilder()
                    .setName(row.upstream().upstream().value())
                    .setStartedAtMillis(row.upstream().startedAtEpochMillis())
                    .setLimited(row.perSecond().isPresent())
                    .setPerSecond(row.perSecond().orElse(0))
                    .setAgeMillis(row.ageMillis())
                    .setSent(usage.sent().getOrDefault(row.upstream(), 0.0)));
        }
        if (!limits.isEmpty()) {
            usage.arrived()
                    .forEach((service, arrived) -> report.addArrivals(ServiceArrivals.newBuilder()
                            .setService(service.value())
                            .setArrived(arrived)));
        }
    }

    /**
     * Decodes the rate limits of a report. Invalid ones are left out, and their upstreams are reported again soon.
     *
     * @param report the report
     * @return one entry per upstream
     */
    public static List<StatedRateLimits.Report> decodeRateLimits(DaemonReport report) {
        List<StatedRateLimits.Report> rows = new ArrayList<>(report.getLimitsCount());
        for (RateLimit limit : report.getLimitsList()) {
            if (isValid(limit)) {
                OptionalDouble perSecond =
                        limit.getLimited() ? OptionalDouble.of(limit.getPerSecond()) : OptionalDouble.empty();
                rows.add(new StatedRateLimits.Report(incarnation(limit), perSecond, limit.getAgeMillis()));
            }
        }
        return rows;
    }

    /**
     * Decodes the usage of upstreams with a rate limit. Invalid counts are left out.
     *
     * @param report the report
     * @return requests sent and calls arrived at the daemons for which the report speaks
     */
    public static RateLimitUsage decodeRateLimitUsage(DaemonReport report) {
        Map<LeavingUpstreams.UpstreamIncarnation, Double> sent = new HashMap<>();
        for (RateLimit limit : report.getLimitsList()) {
            if (isValid(limit) && isDecayingCount(limit.getSent())) {
                sent.put(incarnation(limit), limit.getSent());
            }
        }
        Map<ServiceName, Double> arrived = new HashMap<>();
        for (ServiceArrivals row : report.getArrivalsList()) {
            if (!row.getService().isBlank() && isDecayingCount(row.getArrived())) {
                arrived.put(new ServiceName(row.getService()), row.getArrived());
            }
        }
        return new RateLimitUsage(Math.max(1, report.getDaemons()), sent, arrived);
    }

    private static LeavingUpstreams.UpstreamIncarnation incarnation(RateLimit limit) {
        return new LeavingUpstreams.UpstreamIncarnation(new InstanceId(limit.getName()), limit.getStartedAtMillis());
    }

    private static boolean isValid(RateLimit limit) {
        return !limit.getName().isBlank()
                && isAge(limit.getAgeMillis())
                && Double.isFinite(limit.getPerSecond())
                && limit.getPerSecond() >= 0;
    }

    private static boolean isDecayingCount(double count) {
        return count >= 0 && count <= MAX_CALLS;
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
