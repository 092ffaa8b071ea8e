package io.sesamehead.entry.runtime;

import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.StoreRevision;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Counts the calls to a store by kind and result, and logs the counts on request. */
final class MeteredStore implements ObjectStore {
    private final ObjectStore store;
    private final DaemonMetrics metrics;
    private final EventLog log;
    private final Map<String, Integer> calls = new TreeMap<>();

    MeteredStore(ObjectStore store, DaemonMetrics metrics, EventLog log) {
        this.store = store;
        this.metrics = metrics;
        this.log = log;
    }

    /** Logs the number of calls since the start. The store charges per call. */
    void logCalls() {
        log.write(EventLog.Component.STORE, "calls", "since_start", calls);
    }

    @Override
    public <T> void list(ObjectKind<T> kind, boolean mayBeOld, Consumer<StoreResult<Listing<T>>> done) {
        store.list(kind, mayBeOld, counted(mayBeOld ? "list-old" : "list", kind, done));
    }

    @Override
    public <T> void watch(
            ObjectKind<T> kind, StoreRevision since, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done) {
        store.watch(kind, since, waitMillis, counted("watch", kind, done));
    }

    @Override
    public <T> void write(
            ObjectKind<T> kind,
            String name,
            Optional<StoreRevision> expected,
            T content,
            Consumer<StoreResult<StoredObject<T>>> done) {
        store.write(kind, name, expected, content, counted("write", kind, done));
    }

    private <V> Consumer<StoreResult<V>> counted(String call, ObjectKind<?> kind, Consumer<StoreResult<V>> done) {
        String object = kind.getClass().getSimpleName();
        calls.merge(call + "-" + object, 1, Integer::sum);
        return answer -> {
            String result = answer.getClass().getSimpleName();
            metrics.count("store_calls{call=\"" + call + "\",kind=\"" + object + "\",result=\"" + result + "\"}");
            done.accept(answer);
        };
    }
}
