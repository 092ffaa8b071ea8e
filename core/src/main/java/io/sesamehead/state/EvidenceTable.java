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
 * The last evidence about each VM, from this daemon's probes and from its peers. The newest observation wins, except that
 * a VM which one prober does not reach counts as reported while another prober still reaches it. Lock: one
 * {@link ReentrantLock}, place 3 in the lock order of the tables.
 */
public final class EvidenceTable {
    /** Gap between ticks that counts as a pause; five missed ticks. */
    private static final long MIN_PAUSE_MILLIS = 500;

    /** Time in which a process that resumes reads the messages that waited. */
    private static final long CATCH_UP_MILLIS = 2_000;

    /**
     * A report counts this much longer than another prober's failure: two probe intervals. Without it, a prober with a
     * broken link makes the groups of its VMs stop and start with each probe.
     */
    private static final long REPORT_PRECEDENCE_MILLIS = 2_000;

    /** A prober that said nothing for this long no longer probes the VM. */
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
     * Notices pauses of this process. A message of a peer can wait in a socket buffer during a pause, and its age does
     * not tell so; observations merged in or shortly after a pause are therefore dated back by its length.
     *
     * @param nowMillis present monotonic time, in milliseconds; called every 100 ms
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
     * Records an observation of this daemon. Its time is the moment before the status was requested.
     *
     * @param evidence the observation
     * @return true when the content changed, so that peers are told at once
     */
    public boolean record(Evidence evidence) {
        lock.lock();
        try {
            VmId vm = vmOf(evidence);
            ProberObservations sources = observationsByVm.computeIfAbsent(vm, unused -> new ProberObservations());
            boolean changed = isChange(sources.own(), evidence);
            sources.put(Optional.empty(), evidence);
            if (changed) {
                unsentChanges.add(vm);
            }
            return changed;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Merges observations of peers whose names are not known.
     *
     * @param receivedAtMillis time of the receipt on the local monotonic clock, in milliseconds
     * @param received the observations
     * @return the VMs whose content changed
     */
    public ImmutableList<VmId> merge(long receivedAtMillis, Collection<AgedEvidence> received) {
        return merge(receivedAtMillis, UNNAMED_PEER, received);
    }

    /**
     * Merges observations that a peer sent. They are dated back by their age and never date after their receipt.
     *
     * @param receivedAtMillis time of the receipt on the local monotonic clock, in milliseconds
     * @param peer the peer
     * @param received the observations
     * @return the VMs whose content changed
     */
    public ImmutableList<VmId> merge(long receivedAtMillis, DaemonId peer, Collection<AgedEvidence> received) {
        lock.lock();
        try {
            ImmutableList.Builder<VmId> changed = ImmutableList.builder();
            long latestSendMillis = receivedAtMillis - maxQueuedMillis(receivedAtMillis);
            for (AgedEvidence item : received) {
                ProberObservations sources =
                        observationsByVm.computeIfAbsent(item.vm(), unused -> new ProberObservations());
                Optional<Evidence> before = sources.effective();
                sources.put(Optional.of(peer), toEvidence(latestSendMillis, item));
                if (isChange(before, sources.effective().orElseThrow())) {
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
     * @param nowMillis present monotonic time, in milliseconds
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
     * @param nowMillis present monotonic time, in milliseconds
     * @param vms the VMs that this daemon probes
     * @return what is known of them
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
     * Returns the last evidence about a VM.
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
     * Returns the last evidence about every VM.
     *
     * @return a copy
     */
    public ImmutableMap<VmId, Evidence> snapshot() {
        lock.lock();
        try {
            ImmutableMap.Builder<VmId, Evidence> copy = ImmutableMap.builder();
            observationsByVm.forEach((vm, sources) -> sources.effective().ifPresent(it -> copy.put(vm, it)));
            return copy.buildOrThrow();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Forgets the VMs that the platform does not list any more.
     *
     * @param listed the VMs that are listed
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

    /** Returns how long a message received now may have waited for this process. */
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

    private static Evidence toEvidence(long sentByMillis, AgedEvidence item) {
        long observedAtMillis = sentByMillis - Math.max(0, item.ageMillis());
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

    /** Load figures change with every request; they travel in the digest and cause no push. */
    private static Optional<MemberReport> membership(Evidence evidence) {
        return report(evidence)
                .map(it -> new MemberReport(
                        it.vm(), it.engine(), it.group(), it.epoch(), it.state(), it.model(), 0, 0, 0));
    }

    /** The last observation of each prober of one VM; the empty key is this daemon. */
    private static final class ProberObservations {
        private final Map<Optional<DaemonId>, Evidence> last = new HashMap<>();

        void put(Optional<DaemonId> source, Evidence evidence) {
            last.merge(source, evidence, (a, b) -> b.observedAtMillis() < a.observedAtMillis() ? a : b);
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

        /** Of two observations of the same time, that the VM does not answer counts for more. */
        private static Optional<Evidence> newest(Stream<Evidence> evidence) {
            return evidence.max(Comparator.comparingLong(Evidence::observedAtMillis)
                    .thenComparing(it -> it instanceof Evidence.Unreachable));
        }
    }
}
