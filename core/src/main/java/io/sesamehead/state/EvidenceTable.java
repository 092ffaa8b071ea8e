package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.Stream;

/**
 * The latest evidence about each VM, from the probes of this daemon and its peers. The newest observation wins, except
 * that a VM counts as reported as long as at least one prober reaches it. Guarded by a {@link ReentrantLock}, number 3
 * in the lock order of the tables.
 */
public final class EvidenceTable {
    /** Minimum gap between ticks that counts as a pause: five missed ticks. */
    private static final long MIN_PAUSE_MILLIS = 500;

    /** Time within which a resumed process reads the messages queued during the pause. */
    private static final long CATCH_UP_MILLIS = 2_000;

    /**
     * A report takes precedence over another prober's failure that is newer by up to this time: two probe intervals.
     * Without this, a prober with a broken link would make the groups of its VMs stop and start with each probe.
     */
    private static final long REPORT_PRECEDENCE_MILLIS = 2_000;

    /** A prober without an observation for this time no longer probes the VM. */
    private static final long PROBER_EXPIRY_MILLIS = 30_000;

    private static final DaemonId UNNAMED_PEER = new DaemonId("unnamed-peer");

    private final ReentrantLock lock = new ReentrantLock();
    private final TreeMap<VmId, ProberObservations> observationsByVm = new TreeMap<>();
    private final TreeSet<VmId> unsentChanges = new TreeSet<>();

    private OptionalLong lastTickMillis = OptionalLong.empty();
    private long pauseMillis;
    private long pauseEndMillis;

    /** Creates an empty table. */
    public EvidenceTable() {}

    /**
     * Detects pauses of this process; called every 100 ms. During a pause, messages of peers wait in socket buffers,
     * and the ages in them do not include that time. Observations merged during or shortly after a pause are therefore
     * backdated by its length.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void tick(long nowMillis) {
        lock.lock();
        try {
            long gapMillis = tickGapMillis(nowMillis);
            if (gapMillis > 0) {
                pauseMillis = gapMillis;
                pauseEndMillis = nowMillis;
            }
            lastTickMillis = OptionalLong.of(nowMillis);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records an observation of this daemon. Its time is taken before the status request is sent.
     *
     * @param evidence the observation
     * @return true if the content changed, so that it must be sent to peers immediately
     */
    public boolean record(Evidence evidence) {
        lock.lock();
        try {
            VmId vm = vmOf(evidence);
            ProberObservations observations = observationsByVm.computeIfAbsent(vm, unused -> new ProberObservations());
            boolean changed = isChange(observations.own(), evidence);
            observations.put(Optional.empty(), evidence);
            if (changed) {
                unsentChanges.add(vm);
            }
            return changed;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Merges observations of peers with unknown names.
     *
     * @param receivedAtMillis time of the receipt on the local monotonic clock, in milliseconds
     * @param received the observations
     * @return the VMs whose evidence changed
     */
    public ImmutableList<VmId> merge(long receivedAtMillis, Collection<AgedEvidence> received) {
        return merge(receivedAtMillis, UNNAMED_PEER, received);
    }

    /**
     * Merges observations sent by a peer. They are backdated by their age and never dated after their receipt.
     *
     * @param receivedAtMillis time of the receipt on the local monotonic clock, in milliseconds
     * @param peer the peer
     * @param received the observations
     * @return the VMs whose evidence changed
     */
    public ImmutableList<VmId> merge(long receivedAtMillis, DaemonId peer, Collection<AgedEvidence> received) {
        lock.lock();
        try {
            ImmutableList.Builder<VmId> changed = ImmutableList.builder();
            long latestSendMillis = receivedAtMillis - maxQueuedMillis(receivedAtMillis);
            for (AgedEvidence item : received) {
                ProberObservations observations =
                        observationsByVm.computeIfAbsent(item.vm(), unused -> new ProberObservations());
                Optional<Evidence> before = observations.effective();
                observations.put(Optional.of(peer), toEvidence(latestSendMillis, item));
                if (isChange(before, observations.effective().orElseThrow())) {
                    changed.add(item.vm());
                }
            }
            return changed.build();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Removes and returns this daemon's observations that changed since the last call.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the observations to push to peers
     */
    public ImmutableList<AgedEvidence> takeChanged(long nowMillis) {
        lock.lock();
        try {
            ImmutableList<AgedEvidence> changed = withAges(nowMillis, unsentChanges);
            unsentChanges.clear();
            return changed;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns this daemon's own observations of some VMs for a digest.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param vms the VMs that this daemon probes
     * @return the observations
     */
    public ImmutableList<AgedEvidence> digest(long nowMillis, Collection<VmId> vms) {
        lock.lock();
        try {
            return withAges(nowMillis, vms);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the latest evidence about a VM.
     *
     * @param vm the VM
     * @return the evidence, or empty
     */
    public Optional<Evidence> evidence(VmId vm) {
        lock.lock();
        try {
            return Optional.ofNullable(observationsByVm.get(vm)).flatMap(ProberObservations::effective);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the latest evidence about every VM.
     *
     * @return an immutable copy
     */
    public ImmutableMap<VmId, Evidence> snapshot() {
        lock.lock();
        try {
            ImmutableMap.Builder<VmId, Evidence> copy = ImmutableMap.builder();
            observationsByVm.forEach(
                    (vm, observations) -> observations.effective().ifPresent(it -> copy.put(vm, it)));
            return copy.buildOrThrow();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Evicts the VMs that the platform no longer lists.
     *
     * @param listed the listed VMs
     */
    public void retain(Collection<VmId> listed) {
        lock.lock();
        try {
            observationsByVm.keySet().retainAll(listed);
            unsentChanges.retainAll(listed);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the maximum time that a message received now may have waited for this process. */
    private long maxQueuedMillis(long nowMillis) {
        boolean catchingUp = pauseMillis > 0 && nowMillis - pauseEndMillis < CATCH_UP_MILLIS;
        return Math.max(tickGapMillis(nowMillis), catchingUp ? pauseMillis : 0);
    }

    private long tickGapMillis(long nowMillis) {
        long gapMillis = lastTickMillis.isPresent() ? nowMillis - lastTickMillis.getAsLong() : 0;
        return gapMillis > MIN_PAUSE_MILLIS ? gapMillis : 0;
    }

    private ImmutableList<AgedEvidence> withAges(long nowMillis, Collection<VmId> vms) {
        ImmutableList.Builder<AgedEvidence> result = ImmutableList.builder();
        for (VmId vm : vms) {
            Optional.ofNullable(observationsByVm.get(vm))
                    .flatMap(ProberObservations::own)
                    .ifPresent(evidence -> {
                        long ageMillis = Math.max(0, nowMillis - evidence.observedAtMillis());
                        result.add(new AgedEvidence(vm, report(evidence), ageMillis));
                    });
        }
        return result.build();
    }

    private static boolean isChange(Optional<Evidence> before, Evidence after) {
        return before.isEmpty() || !membership(before.get()).equals(membership(after));
    }

    private static Evidence toEvidence(long latestSendMillis, AgedEvidence item) {
        long observedAtMillis = latestSendMillis - Math.max(0, item.ageMillis());
        return item.report()
                .<Evidence>map(report -> new Evidence.Reported(report, observedAtMillis))
                .orElseGet(() -> new Evidence.Unreachable(item.vm(), observedAtMillis));
    }

    private static VmId vmOf(Evidence evidence) {
        return switch (evidence) {
            case Evidence.Reported reported -> reported.report().vm();
            case Evidence.Unreachable unreachable -> unreachable.vm();
        };
    }

    private static Optional<MemberReport> report(Evidence evidence) {
        return switch (evidence) {
            case Evidence.Reported reported -> Optional.of(reported.report());
            case Evidence.Unreachable unreachable -> Optional.empty();
        };
    }

    /** Removes the load figures: they change with every request, so they are sent in the digest and trigger no push. */
    private static Optional<MemberReport> membership(Evidence evidence) {
        return report(evidence)
                .map(it -> new MemberReport(
                        it.vm(), it.engine(), it.group(), it.epoch(), it.state(), it.model(), 0, 0, 0));
    }

    /** The latest observation of one VM by each prober; the empty key is this daemon. */
    private static final class ProberObservations {
        private final Map<Optional<DaemonId>, Evidence> last = new HashMap<>();

        void put(Optional<DaemonId> prober, Evidence evidence) {
            last.merge(prober, evidence, (a, b) -> b.observedAtMillis() < a.observedAtMillis() ? a : b);
            long newestMillis = newest(last.values().stream()).orElseThrow().observedAtMillis();
            last.values().removeIf(it -> newestMillis - it.observedAtMillis() > PROBER_EXPIRY_MILLIS);
        }

        Optional<Evidence> own() {
            return Optional.ofNullable(last.get(Optional.<DaemonId>empty()));
        }

        Optional<Evidence> effective() {
            Optional<Evidence> newest = newest(last.values().stream());
            Optional<Evidence> reported = newest(last.values().stream().filter(Evidence.Reported.class::isInstance));
            boolean reachable = reported.isPresent()
                    && newest.get().observedAtMillis() - reported.get().observedAtMillis() <= REPORT_PRECEDENCE_MILLIS;
            return reachable ? reported : newest;
        }

        /** Returns the newest observation; of two with the same time, an unreachable one takes precedence. */
        private static Optional<Evidence> newest(Stream<Evidence> evidence) {
            return evidence.max(Comparator.comparingLong(Evidence::observedAtMillis)
                    .thenComparing(it -> it instanceof Evidence.Unreachable));
        }
    }
}
