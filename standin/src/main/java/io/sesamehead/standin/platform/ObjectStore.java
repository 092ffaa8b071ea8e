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

/** Versioned objects with conditional updates and a change history for watches. Stored nodes are never modified. */
final class ObjectStore {
    private static final String API_VERSION = "sesamehead.io/v1";

    private final int historyLimit;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<Key, ObjectNode> objects = new TreeMap<>();
    private final ArrayDeque<Change> history = new ArrayDeque<>();
    private final List<Snapshot> snapshots = new ArrayList<>();
    private long version;
    private long oldestWatchableVersion;
    private long watchDisconnects;

    ObjectStore(int historyLimit) {
        this.historyLimit = historyLimit;
    }

    /** Kind and name that identify an object. */
    record Key(String kind, String name) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byKind = kind.compareTo(other.kind);
            return byKind != 0 ? byKind : name.compareTo(other.name);
        }
    }

    /** Result of a call; {@code written} is whether the store changed. */
    record Result(int status, ObjectNode body, boolean written) {}

    /** A change as delivered to watches. */
    record Change(long version, String type, Key key, ObjectNode object) {}

    /** Position of a watch: the last version delivered, and the number of forced disconnects when it started. */
    record WatchPosition(long version, long disconnects) {}

    private record Snapshot(long version, TreeMap<Key, ObjectNode> objects) {}

    static ObjectNode status(int code, String reason, String message) {
        return Json.object()
                .put("kind", "Status")
                .put("status", "Failure")
                .put("reason", reason)
                .put("message", message)
                .put("code", code);
    }

    Result read(Key key) {
        return withLock(() -> {
            ObjectNode found = objects.get(key);
            return found == null ? notFound(key) : new Result(200, found, false);
        });
    }

    Result list(String kind, Optional<String> name) {
        return withLock(() -> {
            ObjectNode body = Json.object().put("apiVersion", API_VERSION).put("kind", "List");
            body.putObject("metadata").put("resourceVersion", Long.toString(version));
            ArrayNode items = body.putArray("items");
            currentAsChanges(kind, name).forEach(change -> items.add(change.object()));
            return new Result(200, body, false);
        });
    }

    Result create(Key key, ObjectNode object) {
        return withLock(() -> {
            if (objects.containsKey(key)) {
                return failure(409, "AlreadyExists", key.kind() + " " + key.name() + " already exists");
            }
            return new Result(201, write("ADDED", key, object), true);
        });
    }

    Result update(Key key, ObjectNode object) {
        return withLock(() -> {
            if (!objects.containsKey(key)) {
                return notFound(key);
            }
            String expected = object.path("metadata").path("resourceVersion").asText("");
            return isCurrent(key, expected) ? new Result(200, write("MODIFIED", key, object), true) : conflict(key);
        });
    }

    Result delete(Key key, String expectedVersion) {
        return withLock(() -> {
            if (!objects.containsKey(key)) {
                return notFound(key);
            }
            if (!isCurrent(key, expectedVersion)) {
                return conflict(key);
            }
            ObjectNode last = write("DELETED", key, objects.get(key));
            objects.remove(key);
            return new Result(200, last, true);
        });
    }

    /** Returns the start position of a watch from the given version, or empty if the history no longer covers it. */
    Optional<WatchPosition> watchFrom(long from) {
        return withLock(
                () -> isWatchable(from) ? Optional.of(new WatchPosition(from, watchDisconnects)) : Optional.empty());
    }

    /** Appends the current objects as ADDED changes and returns the position of the current version. */
    WatchPosition watchFromCurrentVersion(String kind, Optional<String> name, List<Change> currentObjects) {
        return withLock(() -> {
            currentObjects.addAll(currentAsChanges(kind, name));
            return new WatchPosition(version, watchDisconnects);
        });
    }

    /**
     * Waits for changes after a position and adds them to the list.
     *
     * @return the new position; empty if the watch was disconnected or fell behind the history
     */
    Optional<WatchPosition> awaitChanges(
            String kind, Optional<String> name, WatchPosition position, long deadlineNanos, List<Change> out)
            throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long lastVersion = position.version();
            while (true) {
                if (watchDisconnects != position.disconnects() || !isWatchable(lastVersion)) {
                    return Optional.empty();
                }
                collectAfter(lastVersion, kind, name, out);
                lastVersion = version;
                long remainingNanos = deadlineNanos - System.nanoTime();
                if (!out.isEmpty() || remainingNanos <= 0) {
                    return Optional.of(new WatchPosition(lastVersion, watchDisconnects));
                }
                changed.await(remainingNanos, TimeUnit.NANOSECONDS);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Disconnects every open watch. */
    void disconnectWatches() {
        withLock(() -> {
            watchDisconnects++;
            changed.signalAll();
            return watchDisconnects;
        });
    }

    ObjectNode snapshot() {
        return withLock(() -> {
            snapshots.add(new Snapshot(version, new TreeMap<>(objects)));
            return Json.object()
                    .put("snapshot", snapshots.size() - 1)
                    .put("resourceVersion", Long.toString(version))
                    .put("objects", objects.size());
        });
    }

    /**
     * Replaces all objects with those of a snapshot and disconnects every watch.
     *
     * @param index index of the snapshot, -1 for the latest
     * @param rewindVersions whether version numbers continue from the snapshot's version and are thus reused
     */
    Optional<ObjectNode> restore(int index, boolean rewindVersions) {
        return withLock(() -> {
            int chosen = index < 0 ? snapshots.size() - 1 : index;
            if (chosen < 0 || chosen >= snapshots.size()) {
                return Optional.empty();
            }
            Snapshot snapshot = snapshots.get(chosen);
            objects.clear();
            objects.putAll(snapshot.objects());
            history.clear();
            // A watch from before the restore must list again, so the version is advanced past it.
            version = rewindVersions ? snapshot.version() : version + 1;
            oldestWatchableVersion = version;
            watchDisconnects++;
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
            oldestWatchableVersion = history.removeFirst().version();
        }
        changed.signalAll();
        return stored;
    }

    private List<Change> currentAsChanges(String kind, Optional<String> name) {
        return objects.entrySet().stream()
                .filter(entry -> matchesSelector(entry.getKey(), kind, name))
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
            if (matchesSelector(change.key(), kind, name)) {
                found.addFirst(change);
            }
        }
        out.addAll(found);
    }

    private boolean isWatchable(long from) {
        return from >= oldestWatchableVersion && from <= version;
    }

    private boolean isCurrent(Key key, String expectedVersion) {
        return expectedVersion.isEmpty()
                || objects.get(key)
                        .path("metadata")
                        .path("resourceVersion")
                        .asText()
                        .equals(expectedVersion);
    }

    private static boolean matchesSelector(Key key, String kind, Optional<String> name) {
        return key.kind().equals(kind) && name.map(key.name()::equals).orElse(true);
    }

    private static Result notFound(Key key) {
        return failure(404, "NotFound", key.kind() + " " + key.name() + " not found");
    }

    private static Result conflict(Key key) {
        return failure(409, "Conflict", key.kind() + " " + key.name() + " was changed by another writer");
    }

    private static Result failure(int code, String reason, String message) {
        return new Result(code, status(code, reason, message), false);
    }

    private <T> T withLock(java.util.function.Supplier<T> action) {
        lock.lock();
        try {
            return action.get();
        } finally {
            lock.unlock();
        }
    }
}
