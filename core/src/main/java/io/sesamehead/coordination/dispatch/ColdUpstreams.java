package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.catalog.ServiceProfile;
import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.StoreRevision;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether this daemon may send a request to an upstream that is cold. All daemons together keep to a limit within
 * any second without messages between them, since a daemon that is cut off or has just started receives none: each has a
 * fixed number of permits, which follows from the list of daemons. All times are of a clock that may stand still while the
 * process is suspended: an upstream is then treated as cold for longer. Not thread-safe: confined to the event loop.
 */
public final class ColdUpstreams {
    /**
     * Window in which a daemon sends at most as many requests as it has permits, in milliseconds. Longer than the second
     * of the limit, since requests take unequal times to arrive and clocks run at unequal rates.
     */
    static final long WINDOW_MILLIS = 1_050;
    /**
     * Heartbeats for which the upstreams of a failure domain are treated as cold after an evacuation, beyond their cold
     * start. They may have turned cold just before its end, and state so with their next heartbeat.
     */
    private static final int HEARTBEATS_AFTER_EVACUATION = 2;
    /** Retention of an incarnation that is not listed, in milliseconds: entries expire while the store is away. */
    private static final long UNLISTED_RETENTION_MILLIS = 60_000;

    private final Optional<ColdRequestLimit> limit;
    private final long heartbeatMillis;
    private final ColdPermits permits;
    private final Map<UpstreamIncarnation, ColdUpstream> upstreams = new HashMap<>();
    private final Map<FailureDomain, Long> evacuationEnds = new HashMap<>();
    /** Services whose upstreams may be cold. */
    private Map<ServiceName, ServiceProfile> services = Map.of();

    private long heldBack;

    /** Creates the decision of a deployment without cold upstreams: nothing is limited. */
    public ColdUpstreams() {
        this(new DaemonId("none"), Optional.empty(), 0);
    }

    /**
     * Creates the decision of a daemon that knows no upstreams and no daemons.
     *
     * @param own this daemon
     * @param limit limit of requests to cold upstreams; empty if nothing is limited
     * @param heartbeatMillis interval at which upstreams write to the store, in milliseconds
     */
    public ColdUpstreams(DaemonId own, Optional<ColdRequestLimit> limit, long heartbeatMillis) {
        this.limit = limit;
        this.heartbeatMillis = heartbeatMillis;
        this.permits = new ColdPermits(own, WINDOW_MILLIS);
    }

    /**
     * Returns whether requests to cold upstreams are limited in this deployment.
     *
     * @return false if all upstreams are treated alike
     */
    public boolean isLimited() {
        return limit.isPresent();
    }

    /**
     * Replaces the services of the configuration.
     *
     * @param profiles all services
     */
    public void updateServices(Collection<ServiceProfile> profiles) {
        Map<ServiceName, ServiceProfile> cold = new HashMap<>();
        profiles.stream()
                .filter(profile -> profile.coldPerSecond() > 0)
                .forEach(profile -> cold.put(profile.name(), profile));
        services = cold;
    }

    /**
     * Records the list of daemons that the store returned.
     *
     * @param daemons the listed daemons, with this one if it is listed
     * @param requestedAtMillis time at which the list was requested, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordDaemons(Set<DaemonId> daemons, long requestedAtMillis, long nowMillis) {
        permits.recordList(daemons, requestedAtMillis, nowMillis);
    }

    /**
     * Records a registry entry that has been read. An entry that is read again changes nothing, since its time counts from
     * when it was first read.
     *
     * @param entry the entry
     * @param revision revision at which the upstream wrote it
     * @param duringTraffic whether callers have sent calls to the deployment before
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void observe(UpstreamEntry entry, StoreRevision revision, boolean duringTraffic, long nowMillis) {
        if (limit.isPresent()) {
            upstreams
                    .computeIfAbsent(entry.incarnation(), key -> new ColdUpstream(entry, duringTraffic, nowMillis))
                    .observe(entry, revision, nowMillis);
        }
    }

    /**
     * Records that the evacuation of a failure domain has ended. Its upstreams may have turned cold meanwhile.
     *
     * @param failureDomain the failure domain
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordEvacuationEnded(FailureDomain failureDomain, long nowMillis) {
        if (limit.isPresent()) {
            evacuationEnds.merge(failureDomain, nowMillis, Math::max);
        }
    }

    /**
     * Returns the time until this daemon may send a request to an upstream.
     *
     * @param target the upstream
     * @param nowMillis current monotonic time, in milliseconds
     * @return the time until its next permit or, if it has none, until the upstream is warm, in milliseconds; 0 if it may
     *     send one now
     */
    public long waitMillis(Target target, long nowMillis) {
        Optional<ServiceProfile> profile = limitedService(target);
        if (profile.isEmpty()) {
            return 0;
        }
        UpstreamEntry entry = target.upstream();
        ColdUpstream upstream = tracked(entry, nowMillis);
        long leftMillis = cold(upstream, profile.get()).untilMillis() - nowMillis;
        if (leftMillis <= 0) {
            return 0;
        }
        int own = ownPermits(upstream, entry.incarnation(), profile.get(), nowMillis);
        return own == 0 ? leftMillis : Math.min(leftMillis, upstream.permitWaitMillis(own, WINDOW_MILLIS, nowMillis));
    }

    /**
     * Records a request that is sent to an upstream, whatever becomes of it. Requests to a warm upstream count as well, in
     * case it turns out to be cold a moment later.
     *
     * @param target where it is sent
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordSent(Target target, long nowMillis) {
        limitedService(target)
                .ifPresent(
                        profile -> tracked(target.upstream(), nowMillis).recordSent(totalPermits(profile), nowMillis));
    }

    /** Counts a refused call that was held back from a cold upstream. */
    void recordHeldBack() {
        heldBack++;
    }

    /**
     * Returns how often a call was refused while a request to a cold upstream was held back.
     *
     * @return the count since the start of the process
     */
    public long heldBack() {
        return heldBack;
    }

    /**
     * Returns the number of upstreams that are cold now.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the number
     */
    public int coldCount(long nowMillis) {
        return (int) upstreams.values().stream()
                .filter(upstream -> isCold(upstream, nowMillis))
                .count();
    }

    /**
     * Returns the upstreams that have turned cold or warm since the previous call.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the changes
     */
    public List<Change> takeChanges(long nowMillis) {
        List<Change> changes = new ArrayList<>();
        upstreams.forEach((incarnation, upstream) -> {
            boolean cold = isCold(upstream, nowMillis);
            if (!upstream.changeLogged(cold)) {
                return;
            }
            if (!cold) {
                changes.add(new Change.Warm(incarnation));
                return;
            }
            ServiceProfile profile = services.get(upstream.service());
            ColdUpstream.Cold until = cold(upstream, profile);
            int own = ownPermits(upstream, incarnation, profile, nowMillis);
            changes.add(new Change.Cold(
                    incarnation, until.untilMillis() - nowMillis, until.source().name(), own));
        });
        return changes;
    }

    /**
     * Evicts what is no longer needed.
     *
     * @param listed the incarnations that the registry lists
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void retain(Collection<UpstreamIncarnation> listed, long nowMillis) {
        Set<UpstreamIncarnation> retained = new HashSet<>(listed);
        upstreams.forEach((incarnation, upstream) -> {
            if (retained.contains(incarnation)) {
                upstream.recordListed(nowMillis);
            }
            upstream.forgetSentBefore(nowMillis - WINDOW_MILLIS);
        });
        upstreams.values().removeIf(upstream -> nowMillis - upstream.lastListedAtMillis() > UNLISTED_RETENTION_MILLIS);
        long longestStart = services.values().stream()
                .mapToLong(ServiceProfile::coldStartMillis)
                .max()
                .orElse(0);
        // Without services the configuration is not known yet.
        if (!services.isEmpty()) {
            evacuationEnds.values().removeIf(ended -> nowMillis >= coldAfterEvacuation(ended, longestStart));
        }
    }

    /** Returns the number of incarnations about which something is stored. */
    int trackedCount() {
        return upstreams.size();
    }

    private Optional<ServiceProfile> limitedService(Target target) {
        return limit.isEmpty() || target.key().isPeer()
                ? Optional.empty()
                : Optional.ofNullable(services.get(target.upstream().service()));
    }

    /** Returns the state of an upstream; one that has not been observed has just started, as far as this daemon knows. */
    private ColdUpstream tracked(UpstreamEntry entry, long nowMillis) {
        return upstreams.computeIfAbsent(entry.incarnation(), key -> new ColdUpstream(entry, true, nowMillis));
    }

    private boolean isCold(ColdUpstream upstream, long nowMillis) {
        ServiceProfile profile = services.get(upstream.service());
        return profile != null && cold(upstream, profile).untilMillis() > nowMillis;
    }

    private ColdUpstream.Cold cold(ColdUpstream upstream, ServiceProfile profile) {
        ColdUpstream.Cold own = upstream.cold(profile);
        Long ended = evacuationEnds.get(upstream.failureDomain());
        long untilMillis = ended == null ? Long.MIN_VALUE : coldAfterEvacuation(ended, profile.coldStartMillis());
        return untilMillis > own.untilMillis()
                ? new ColdUpstream.Cold(untilMillis, ColdUpstream.Source.EVACUATION_ENDED)
                : own;
    }

    private long coldAfterEvacuation(long endedAtMillis, long coldStartMillis) {
        return endedAtMillis + coldStartMillis + HEARTBEATS_AFTER_EVACUATION * heartbeatMillis;
    }

    private int ownPermits(
            ColdUpstream upstream, UpstreamIncarnation incarnation, ServiceProfile profile, long nowMillis) {
        return permits.isUsable(nowMillis)
                ? permits.permits(upstream.rank(permits, incarnation), totalPermits(profile))
                : 0;
    }

    private int totalPermits(ServiceProfile profile) {
        return limit.orElseThrow().permitsPerSecond(profile.coldPerSecond());
    }

    /** An upstream that has turned cold or warm, as far as this daemon knows. */
    public sealed interface Change {
        /**
         * Returns the upstream.
         *
         * @return the incarnation
         */
        UpstreamIncarnation upstream();

        /**
         * An upstream has turned cold.
         *
         * @param upstream the incarnation
         * @param forMillis time for which it is treated as cold, in milliseconds
         * @param source why it is treated as cold
         * @param permits requests that this daemon may send there within a second
         */
        record Cold(UpstreamIncarnation upstream, long forMillis, String source, int permits) implements Change {}

        /**
         * An upstream has turned warm.
         *
         * @param upstream the incarnation
         */
        record Warm(UpstreamIncarnation upstream) implements Change {}
    }
}
