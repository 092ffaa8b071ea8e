package io.sesamehead.standin.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.standin.Json;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Versioned objects with conditional updates and a history of changes for watches. Stored nodes are never modified. */
final class ObjectStore {
    private static final String API_VERSION = "sesamehead.io/v1";

    private final int historyLimit;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<Key, ObjectNode> objects = new TreeMap<>();
    private final ArrayDeque<Change> history = new ArrayDeque<>();
    private final List<Snapshot> snapshots = new ArrayList<>();
    private long version;
    private long oldestWatchable;
    private long cuts;

    ObjectStore(int historyLimit) {
        this.historyLimit = historyLimit;
    }

    /** Identity of an object. */
    record Key(String kind, String name) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byKind = kind.compareTo(other.kind);
            return byKind != 0 ? byKind : name.compareTo(other.name);
        }
    }

    /** Answer to a call; {@code written} tells whether the store changed. */
    record Answer(int status, ObjectNode body, boolean written) {}

    /** One change as watches see it. */
    record Change(long version, String type, Key key, ObjectNode object) {}

    /** Position of a watch: the last version it has seen and the number of cuts when it started. */
    record Position(long version, long cuts) {}

    private record Snapshot(long version, TreeMap<Key, ObjectNode> objects) {}

    static ObjectNode status(int code, String reason, String message) {
        return Json.object()
                .put("kind", "Status")
                .put("status", "Failure")
                .put("reason", reason)
                .put("message", message)
                .put("code", code);
    }

    Answer read(Key key) {
        return locked(() -> {
            ObjectNode found = objects.get(key);
            return found == null ? notFound(key) : new Answer(200, found, false);
        });
    }

    Answer list(String kind, Optional<String> name) {
        return locked(() -> {
            ObjectNode body = Json.object().put("apiVersion", API_VERSION).put("kind", "List");
            body.putObject("metadata").put("resourceVersion", Long.toString(version));
            ArrayNode items = body.putArray("items");
            current(kind, name).forEach(change -> items.add(change.object()));
            return new Answer(200, body, false);
        });
    }

    Answer create(Key key, ObjectNode object) {
        return locked(() -> {
            if (objects.containsKey(key)) {
                return refused(409, "AlreadyExists", key.kind() + " " + key.name() + " already exists");
            }
            return new Answer(201, write("ADDED", key, object), true);
        });
    }

    Answer update(Key key, ObjectNode object) {
        return locked(() -> {
            if (!objects.containsKey(key)) {
                return notFound(key);
            }
            String expected = object.path("metadata").path("resourceVersion").asText("");
            return isCurrent(key, expected) ? new Answer(200, write("MODIFIED", key, object), true) : conflict(key);
        });
    }

    Answer delete(Key key, String expectedVersion) {
        return locked(() -> {
            if (!objects.containsKey(key)) {
                return notFound(key);
            }
            if (!isCurrent(key, expectedVersion)) {
                return conflict(key);
            }
            ObjectNode last = write("DELETED", key, objects.get(key));
            objects.remove(key);
            return new Answer(200, last, true);
        });
    }

    /** Returns where a watch from the given version starts, or empty when the history no longer reaches back to it. */
    Optional<Position> watchFrom(long from) {
        return locked(() -> isWatchable(from) ? Optional.of(new Position(from, cuts)) : Optional.empty());
    }

    /** Returns the present objects as ADDED changes and appends nothing else; the position is the present version. */
    Position watchFromNow(String kind, Optional<String> name, List<Change> present) {
        return locked(() -> {
            present.addAll(current(kind, name));
            return new Position(version, cuts);
        });
    }

    /**
     * Waits for changes after a position and adds them to the list.
     *
     * @return the new position; empty when the watch was cut or is too slow for the history
     */
    Optional<Position> awaitChanges(
            String kind, Optional<String> name, Position position, long deadlineNanos, List<Change> out)
            throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long seen = position.version();
            while (true) {
                if (cuts != position.cuts() || !isWatchable(seen)) {
                    return Optional.empty();
                }
                collectAfter(seen, kind, name, out);
                seen = version;
                long left = deadlineNanos - System.nanoTime();
                if (!out.isEmpty() || left <= 0) {
                    return Optional.of(new Position(seen, cuts));
                }
                changed.await(left, TimeUnit.NANOSECONDS);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Ends every waiting watch. */
    void cutWatches() {
        locked(() -> {
            cuts++;
            changed.signalAll();
            return cuts;
        });
    }

    ObjectNode snapshot() {
        return locked(() -> {
            snapshots.add(new Snapshot(version, new TreeMap<>(objects)));
            return Json.object()
                    .put("snapshot", snapshots.size() - 1)
                    .put("resourceVersion", Long.toString(version))
                    .put("objects", objects.size());
        });
    }

    /**
     * Replaces all objects by those of a snapshot and ends every watch.
     *
     * @param index number of the snapshot, -1 for the latest
     * @param rewindVersions whether version numbers are issued again from the snapshot's on
     */
    Optional<ObjectNode> restore(int index, boolean rewindVersions) {
        return locked(() -> {
            int chosen = index < 0 ? snapshots.size() - 1 : index;
            if (chosen < 0 || chosen >= snapshots.size()) {
                return Optional.empty();
            }
            Snapshot snapshot = snapshots.get(chosen);
            objects.clear();
            objects.putAll(snapshot.objects());
            history.clear();
            // A watch from before the restore must list again, so the present version becomes a new one.
            version = rewindVersions ? snapshot.version() : version + 1;
            oldestWatchable = version;
            cuts++;
            changed.signalAll();
            return Optional.of(Json.object().put("snapshot", chosen).put("resourceVersion", Long.toString(version)));
        });
    }

    private ObjectNode write(String type, Key key, ObjectNode object) {
        version++;
        ObjectNode stored = object.deepCopy();
        stored.put("apiVersion", API_VERSION);
        stored.put("kind", key.kind());
        stored.withObject("/metadata").put("name", key.name()).put("resourceVersion", Long.toString(version));
        objects.put(key, stored);
        history.addLast(new Change(version, type, key, stored));
        if (history.size() > historyLimit) {
            oldestWatchable = history.removeFirst().version();
        }
        changed.signalAll();
        return stored;
    }

    private List<Change> current(String kind, Optional<String> name) {
        return objects.entrySet().stream()
                .filter(entry -> matches(entry.getKey(), kind, name))
                .map(entry -> new Change(version, "ADDED", entry.getKey(), entry.getValue()))
                .toList();
    }

    private void collectAfter(long seen, String kind, Optional<String> name, List<Change> out) {
        ArrayDeque<Change> found = new ArrayDeque<>();
        Iterator<Change> newestFirst = history.descendingIterator();
        while (newestFirst.hasNext()) {
            Change change = newestFirst.next();
            if (change.version() <= seen) {
                break;
            }
            if (matches(change.key(), kind, name)) {
                found.addFirst(change);
            }
        }
        out.addAll(found);
    }

    private boolean isWatchable(long from) {
        return from >= oldestWatchable && from <= version;
    }

    private boolean isCurrent(Key key, String expectedVersion) {
        return expectedVersion.isEmpty()
                || objects.get(key)
                        .path("metadata")
                        .path("resourceVersion")
                        .asText()
                        .equals(expectedVersion);
    }

    private static boolean matches(Key key, String kind, Optional<String> name) {
        return key.kind().equals(kind) && name.map(key.name()::equals).orElse(true);
    }

    private static Answer notFound(Key key) {
        return refused(404, "NotFound", key.kind() + " " + key.name() + " not found");
    }

    private static Answer conflict(Key key) {
        return refused(409, "Conflict", key.kind() + " " + key.name() + " was changed by another writer");
    }

    private static Answer refused(int code, String reason, String message) {
        return new Answer(code, status(code, reason, message), false);
    }

    private <T> T locked(java.util.function.Supplier<T> step) {
        lock.lock();
        try {
            return step.get();
        } finally {
            lock.unlock();
        }
    }
}
