package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.replica.FormerGroups;
import io.sesamehead.coordination.replica.LeavingUpstreams;
import io.sesamehead.coordination.replica.RemovedUpstreams;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.StoreRevision;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * The upstreams listed in the store. During a store outage, entries expire although their upstreams are alive. The last
 * entries of such upstreams are kept until the upstreams have had time to register again.
 */
final class UpstreamRegistry {
    /** Time in which live upstreams register again after an outage, in milliseconds. Two seconds plus a margin. */
    static final long REREGISTRATION_MILLIS = 2_300;
    /**
     * Time without a response from the store that counts as an outage, in milliseconds. Exceeds the wait of a watch.
     */
    private static final long MIN_OUTAGE_MILLIS = 2_500;
    /**
     * Maximum time for which an upstream is kept whose removal was seen after a restore, in milliseconds. Shorter than
     * the time for which an upstream that has left still responds.
     */
    private static final long MAX_REMOVED_RETENTION_MILLIS = 1_300;
    /** Interval at which upstreams that no longer exist are evicted, in milliseconds. */
    private static final long EVICTION_INTERVAL_MILLIS = 10_000;

    private final FormerGroups formerGroups = new FormerGroups();
    private final LeavingUpstreams leaving = new LeavingUpstreams();
    private final RemovedUpstreams removed;
    /** Listed upstreams that are not used before they have shown that they live. */
    private final Map<InstanceId, UpstreamEntry> unproven = new LinkedHashMap<>();

    private final Map<InstanceId, UpstreamEntry> entries = new LinkedHashMap<>();
    private final Map<InstanceId, Long> retainedUntilMillis = new HashMap<>();
    private long answeredAtMillis = Long.MIN_VALUE;
    private long reregistrationEndMillis;
    private boolean reregistrationAfterRestore;
    private long evictedAtMillis;
    private BiConsumer<UpstreamEntry, StoreRevision> observer = (entry, revision) -> {};

    /**
     * Creates an empty registry.
     *
     * @param heartbeatMillis interval at which upstreams write to the store, in milliseconds
     */
    UpstreamRegistry(long heartbeatMillis) {
        this.removed = new RemovedUpstreams(heartbeatMillis);
    }

    /** Sets what receives each entry that is read, with its revision, before it is applied. */
    void setObserver(BiConsumer<UpstreamEntry, StoreRevision> receiver) {
        observer = receiver;
    }

    /**
     * Records that the store has been restored from a copy. Upstreams that registered after the copy have to register
     * again, and upstreams that were removed after it are listed again.
     */
    void recordRestore(long nowMillis) {
        reregistrationEndMillis = nowMillis + REREGISTRATION_MILLIS;
        reregistrationAfterRestore = true;
        removed.recordRestore(nowMillis);
        unproven.clear();
    }

    /** Records a response from the store, and the end of an outage if there was one. */
    void recordStoreAnswer(long nowMillis, boolean afterFailure) {
        boolean first = answeredAtMillis == Long.MIN_VALUE;
        if (!first && (afterFailure || nowMillis - answeredAtMillis > MIN_OUTAGE_MILLIS)) {
            reregistrationAfterRestore &= nowMillis < reregistrationEndMillis;
            reregistrationEndMillis = nowMillis + REREGISTRATION_MILLIS;
        }
        answeredAtMillis = Math.max(answeredAtMillis, nowMillis);
    }

    /** Replaces all entries by a complete listing. Returns the names of unreadable entries. */
    List<String> replaceAll(List<StoredObject<UpstreamEntry>> objects, long nowMillis) {
        formerGroups.restartHistory(nowMillis);
        List<String> unreadable = new ArrayList<>();
        Map<InstanceId, UpstreamEntry> listed = new LinkedHashMap<>();
        for (StoredObject<UpstreamEntry> object : objects) {
            Optional<UpstreamEntry> entry = object.content();
            if (entry.isPresent()) {
                observer.accept(entry.get(), object.revision());
                listed.put(entry.get().id(), entry.get());
            } else {
                unreadable.add(object.name());
            }
        }
        for (InstanceId id : List.copyOf(entries.keySet())) {
            if (!listed.containsKey(id)) {
                remove(id, nowMillis, reregistrationEndMillis);
            }
        }
        unproven.clear();
        listed.forEach((id, entry) -> {
            if (removed.isUnproven(entry, nowMillis)) {
                unproven.put(id, entry);
            } else {
                put(id, entry, nowMillis);
            }
        });
        return unreadable;
    }

    /**
     * Applies a change.
     *
     * @param change the change
     * @param present whether it was made after the present history of the store began; an earlier one does not show that
     *     an upstream lives
     * @param nowMillis current time, in milliseconds
     * @return false if the entry cannot be read
     */
    boolean apply(ChangeBatch.Change<UpstreamEntry> change, boolean present, long nowMillis) {
        StoredObject<UpstreamEntry> object = change.object();
        if (object.name().isBlank()) {
            return false;
        }
        InstanceId id = new InstanceId(object.name());
        unproven.remove(id);
        if (change.deleted()) {
            // After a restore, the listing lacks what expired during the absence, and a removal is a present one.
            long retention = reregistrationAfterRestore ? MAX_REMOVED_RETENTION_MILLIS : REREGISTRATION_MILLIS;
            remove(id, nowMillis, Math.min(reregistrationEndMillis, nowMillis + retention));
            return true;
        }
        if (object.content().isEmpty()) {
            drop(id, nowMillis);
            return false;
        }
        UpstreamEntry entry = object.content().get();
        observer.accept(entry, object.revision());
        if (!present && removed.isUnproven(entry, nowMillis)) {
            unproven.put(id, entry);
            return true;
        }
        put(id, entry, nowMillis);
        return true;
    }

    /** Returns the record of groups that upstreams have left. */
    FormerGroups formerGroups() {
        return formerGroups;
    }

    /**
     * Removes expired entries whose upstreams did not register again, and adds those that have shown that they live.
     * Returns whether any was removed or added.
     */
    boolean expire(long nowMillis) {
        if (nowMillis - evictedAtMillis > EVICTION_INTERVAL_MILLIS) {
            evictedAtMillis = nowMillis;
            formerGroups.evictUnlisted(entries::containsKey, nowMillis);
            leaving.evictUnlisted(entries::containsKey, nowMillis);
        }
        boolean changed = false;
        for (Map.Entry<InstanceId, Long> expired : List.copyOf(retainedUntilMillis.entrySet())) {
            if (nowMillis >= expired.getValue()) {
                drop(expired.getKey(), nowMillis);
                changed = true;
            }
        }
        for (UpstreamEntry listed : List.copyOf(unproven.values())) {
            if (!removed.isUnproven(listed, answeredAtMillis)) {
                unproven.remove(listed.id());
                put(listed.id(), listed, nowMillis);
                changed = true;
            }
        }
        return changed;
    }

    Collection<UpstreamEntry> entries() {
        return entries.values();
    }

    /** Returns whether an incarnation of an upstream is listed. */
    boolean isListed(LeavingUpstreams.UpstreamIncarnation upstream) {
        return entries.values().stream().anyMatch(entry -> entry.incarnation().equals(upstream));
    }

    long answeredAtMillis() {
        return answeredAtMillis;
    }

    /** Records that an upstream has announced that it is leaving. Returns whether this is new. */
    boolean recordLeaving(LeavingUpstreams.UpstreamIncarnation incarnation, long nowMillis) {
        if (!leaving.record(incarnation, nowMillis)) {
            return false;
        }
        entries.computeIfPresent(incarnation.upstream(), (id, entry) -> leaving.applyTo(entry));
        return true;
    }

    LeavingUpstreams leaving() {
        return leaving;
    }

    /** An entry that precedes the known one only confirms that the upstream is alive. */
    private void put(InstanceId id, UpstreamEntry listed, long nowMillis) {
        retainedUntilMillis.remove(id);
        UpstreamEntry entry = leaving.applyTo(listed);
        UpstreamEntry known = entries.get(id);
        if (known != null && entry.precedes(known)) {
            return;
        }
        entries.put(id, entry);
        removed.recordAlive(id);
        formerGroups.observe(entry, nowMillis);
    }

    private void remove(InstanceId id, long nowMillis, long retainUntilMillis) {
        UpstreamEntry known = entries.get(id);
        if (known == null) {
            return;
        }
        if (nowMillis < retainUntilMillis && !known.leaving()) {
            retainedUntilMillis.merge(id, retainUntilMillis, Math::min);
            return;
        }
        drop(id, nowMillis);
    }

    private void drop(InstanceId id, long nowMillis) {
        retainedUntilMillis.remove(id);
        UpstreamEntry last = entries.remove(id);
        if (last != null) {
            removed.record(last, nowMillis);
        }
    }
}
