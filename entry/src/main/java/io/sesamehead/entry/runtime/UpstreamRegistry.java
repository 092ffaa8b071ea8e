package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.replica.FormerGroups;
import io.sesamehead.coordination.replica.LeavingUpstreams;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The upstreams that the store lists. Entries lapse while the store is away although their upstreams live; until such
 * upstreams have had time to register again, their last entries hold.
 */
final class UpstreamRegistry {
    /** Time in which living upstreams register again after an outage, in milliseconds: two seconds and a margin. */
    static final long RETURN_MILLIS = 2_300;
    /** Time without an answer of the store that counts as an outage, in milliseconds: above the wait of a watch. */
    private static final long OUTAGE_MILLIS = 2_500;
    /** Interval at which upstreams that are gone are forgotten, in milliseconds. */
    private static final long FORGET_INTERVAL_MILLIS = 10_000;

    private final FormerGroups formerGroups = new FormerGroups();
    private final LeavingUpstreams leaving = new LeavingUpstreams();
    private final Map<InstanceId, UpstreamEntry> entries = new LinkedHashMap<>();
    private final Map<InstanceId, Long> lapsedUntil = new HashMap<>();
    private long answeredAtMillis = Long.MIN_VALUE;
    private long returnUntil;
    private long forgottenAt;

    /** Records an answer of the store, and the end of an outage if there was one. */
    void recordStoreAnswer(long nowMillis, boolean afterFailure) {
        boolean first = answeredAtMillis == Long.MIN_VALUE;
        if (!first && (afterFailure || nowMillis - answeredAtMillis > OUTAGE_MILLIS)) {
            returnUntil = nowMillis + RETURN_MILLIS;
        }
        answeredAtMillis = Math.max(answeredAtMillis, nowMillis);
    }

    /** Takes a complete list in place of what is known. Returns the unreadable names. */
    List<String> replaceAll(List<StoredObject<UpstreamEntry>> objects, long nowMillis) {
        formerGroups.restartHistory(nowMillis);
        List<String> unreadable = new ArrayList<>();
        Map<InstanceId, UpstreamEntry> listed = new LinkedHashMap<>();
        for (StoredObject<UpstreamEntry> object : objects) {
            Optional<UpstreamEntry> entry = object.content();
            if (entry.isPresent()) {
                listed.put(entry.get().id(), entry.get());
            } else {
                unreadable.add(object.name());
            }
        }
        for (InstanceId id : List.copyOf(entries.keySet())) {
            if (!listed.containsKey(id)) {
                remove(id, nowMillis);
            }
        }
        listed.forEach((id, entry) -> put(id, entry, nowMillis));
        return unreadable;
    }

    /** Takes one change. Returns false if the entry cannot be read. */
    boolean apply(ChangeBatch.Change<UpstreamEntry> change, long nowMillis) {
        StoredObject<UpstreamEntry> object = change.object();
        if (object.name().isBlank()) {
            return false;
        }
        InstanceId id = new InstanceId(object.name());
        if (change.deleted()) {
            remove(id, nowMillis);
            return true;
        }
        if (object.content().isEmpty()) {
            remove(id, Long.MAX_VALUE);
            return false;
        }
        put(id, object.content().get(), nowMillis);
        return true;
    }

    /** Returns what is known of groups that upstreams have left. */
    FormerGroups formerGroups() {
        return formerGroups;
    }

    /** Drops entries that lapsed and did not come back. Returns whether any was dropped. */
    boolean expire(long nowMillis) {
        if (nowMillis - forgottenAt > FORGET_INTERVAL_MILLIS) {
            forgottenAt = nowMillis;
            formerGroups.evictUnlisted(entries::containsKey, nowMillis);
            leaving.evictUnlisted(entries::containsKey, nowMillis);
        }
        boolean changed = false;
        for (Map.Entry<InstanceId, Long> lapsed : List.copyOf(lapsedUntil.entrySet())) {
            if (nowMillis >= lapsed.getValue()) {
                lapsedUntil.remove(lapsed.getKey());
                entries.remove(lapsed.getKey());
                changed = true;
            }
        }
        return changed;
    }

    Collection<UpstreamEntry> entries() {
        return entries.values();
    }

    long answeredAtMillis() {
        return answeredAtMillis;
    }

    /** Records that an upstream has said itself that it leaves. Returns whether that was not known. */
    boolean recordLeaving(LeavingUpstreams.UpstreamIncarnation life, long nowMillis) {
        if (!leaving.record(life, nowMillis)) {
            return false;
        }
        entries.computeIfPresent(life.upstream(), (id, entry) -> leaving.applyTo(entry));
        return true;
    }

    LeavingUpstreams leaving() {
        return leaving;
    }

    /** An earlier entry than the known one proves that the upstream lives, and nothing else. */
    private void put(InstanceId id, UpstreamEntry listed, long nowMillis) {
        lapsedUntil.remove(id);
        UpstreamEntry entry = leaving.applyTo(listed);
        UpstreamEntry known = entries.get(id);
        if (known != null && entry.precedes(known)) {
            return;
        }
        entries.put(id, entry);
        formerGroups.observe(entry, nowMillis);
    }

    private void remove(InstanceId id, long nowMillis) {
        UpstreamEntry known = entries.get(id);
        if (known == null) {
            return;
        }
        if (nowMillis < returnUntil && !known.leaving()) {
            lapsedUntil.putIfAbsent(id, returnUntil);
            return;
        }
        entries.remove(id);
        lapsedUntil.remove(id);
    }
}
