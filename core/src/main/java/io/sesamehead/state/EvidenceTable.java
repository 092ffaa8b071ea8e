package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The last evidence about each VM, from this daemon's probes and from its peers. The newest observation wins. Lock: one
 * {@link ReentrantLock}, place 3 in the lock order of the tables.
 */
public final class EvidenceTable {
    /** Gap between ticks that counts as a pause; five missed ticks. */
    private static final long PAUSE_MILLIS = 500;

    /** Time in which a process that resumes reads the messages that waited. */
    private static final long CATCH_UP_MILLIS = 2_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final TreeMap<VmId, Evidence> entries = new TreeMap<>();
    private final TreeSet<VmId> unsent = new TreeSet<>();

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
            long gapMillis = gapMillis(nowMillis);
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
            boolean changed = put(vm, evidence);
            if (changed) {
                unsent.add(vm);
            }
            return changed;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Merges observations that a peer sent. They are dated back by their age and never date after their receipt.
     *
     * @param receivedAtMillis time of the receipt on the local monotonic clock, in milliseconds
     * @param received the observations
     * @return the VMs whose content changed
     */
    public ImmutableList<VmId> merge(long receivedAtMillis, Collection<AgedEvidence> received) {
        lock.lock();
        try {
            ImmutableList.Builder<VmId> changed = ImmutableList.builder();
            long sentByMillis = receivedAtMillis - waitMillis(receivedAtMillis);
            for (AgedEvidence item : received) {
                if (put(item.vm(), localEvidence(sentByMillis, item))) {
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
            ImmutableList<AgedEvidence> changed = aged(nowMillis, unsent);
            unsent.clear();
            return changed;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the evidence about some VMs for a digest.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param vms the VMs that this daemon probes
     * @return what is known of them
     */
    public ImmutableList<AgedEvidence> digest(long nowMillis, Collection<VmId> vms) {
        lock.lock();
        try {
            return aged(nowMillis, vms);
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
            return Optional.ofNullable(entries.get(vm));
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
            return ImmutableMap.copyOf(entries);
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
            entries.keySet().retainAll(listed);
            unsent.retainAll(listed);
        } finally {
            lock.unlock();
        }
    }

    /** Returns how long a message received now may have waited for this process. */
    private long waitMillis(long nowMillis) {
        boolean catchingUp = pauseMillis > 0 && nowMillis - pauseEndMillis < CATCH_UP_MILLIS;
        return Math.max(gapMillis(nowMillis), catchingUp ? pauseMillis : 0);
    }

    private long gapMillis(long nowMillis) {
        long gapMillis = lastTickMillis.isPresent() ? nowMillis - lastTickMillis.getAsLong() : 0;
        return gapMillis > PAUSE_MILLIS ? gapMillis : 0;
    }

    private boolean put(VmId vm, Evidence evidence) {
        Evidence current = entries.get(vm);
        if (current != null && evidence.observedAtMillis() < current.observedAtMillis()) {
            return false;
        }
        entries.put(vm, evidence);
        return current == null || !membership(current).equals(membership(evidence));
    }

    private ImmutableList<AgedEvidence> aged(long nowMillis, Collection<VmId> vms) {
        ImmutableList.Builder<AgedEvidence> result = ImmutableList.builder();
        for (VmId vm : vms) {
            Evidence evidence = entries.get(vm);
            if (evidence != null) {
                long ageMillis = Math.max(0, nowMillis - evidence.observedAtMillis());
                result.add(new AgedEvidence(vm, report(evidence), ageMillis));
            }
        }
        return result.build();
    }

    private static Evidence localEvidence(long sentByMillis, AgedEvidence item) {
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
}
