package io.sesamehead.coordination.request;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The open calls of a daemon. Used to finish them at a graceful stop, to join repeated keyed calls to the call that runs,
 * and to cancel calls. Place 6 in the lock order: only {@link SuspectTracker} may be entered while its lock is held, and its
 * own methods call nothing else.
 */
public final class InFlightTable {
    private final Map<RequestId, Entry> calls = new LinkedHashMap<>();
    private final Map<String, RequestId> orders = new HashMap<>();
    private final Map<RequestId, RequestId> joiners = new HashMap<>();
    private boolean stopping;

    /**
     * One open call.
     *
     * @param request identifier, unique among the open calls
     * @param account the client account
     * @param service the service called
     * @param orderName name of the {@code orders} object, for keyed calls
     * @param fingerprint hash of method, path and body
     * @param openedMillis time at which the call arrived, in milliseconds
     */
    public record OpenCall(
            RequestId request,
            ClientAccount account,
            ServiceName service,
            Optional<String> orderName,
            Fingerprint fingerprint,
            long openedMillis) {}

    /** Answer to {@link #open}. */
    public sealed interface OpenResult {
        /** The call is open; {@link InFlightTable#close} must follow. */
        record Opened() implements OpenResult {}

        /**
         * The call waits for the answer of an open call with the same key and content.
         *
         * @param holder the call that runs
         */
        record Joined(RequestId holder) implements OpenResult {}

        /** The key is in use by an open call with other content. */
        record KeyReused() implements OpenResult {}

        /** The identifier is in use by an open call. */
        record IdInUse() implements OpenResult {}

        /** The daemon is shutting down. */
        record Stopping() implements OpenResult {}
    }

    /**
     * A closed call.
     *
     * @param call the call
     * @param joined the calls that receive the same answer
     */
    public record Closed(OpenCall call, ImmutableList<RequestId> joined) {}

    private static final class Entry {
        private final OpenCall call;
        private final List<RequestId> joined = new ArrayList<>();
        private boolean callerGone;

        private Entry(OpenCall call) {
            this.call = call;
        }
    }

    /**
     * Opens a call, or joins it to the open call with the same key.
     *
     * @param call the call
     * @return the result
     */
    public synchronized OpenResult open(OpenCall call) {
        if (stopping) {
            return new OpenResult.Stopping();
        }
        if (calls.containsKey(call.request()) || joiners.containsKey(call.request())) {
            return new OpenResult.IdInUse();
        }
        Optional<Entry> holder = call.orderName().map(orders::get).map(calls::get);
        if (holder.isPresent()) {
            return join(call, holder.get());
        }
        calls.put(call.request(), new Entry(call));
        call.orderName().ifPresent(name -> orders.put(name, call.request()));
        return new OpenResult.Opened();
    }

    private OpenResult join(OpenCall call, Entry holder) {
        if (!holder.call.fingerprint().equals(call.fingerprint())) {
            return new OpenResult.KeyReused();
        }
        holder.joined.add(call.request());
        joiners.put(call.request(), holder.call.request());
        return new OpenResult.Joined(holder.call.request());
    }

    /**
     * Closes a call that {@link #open} opened. Only the first close returns the call.
     *
     * @param request the call
     * @return the call and those joined to it, or empty when it is not open
     */
    public synchronized Optional<Closed> close(RequestId request) {
        Entry entry = calls.remove(request);
        if (entry == null) {
            return Optional.empty();
        }
        entry.call.orderName().ifPresent(orders::remove);
        entry.joined.forEach(joiners::remove);
        return Optional.of(new Closed(entry.call, ImmutableList.copyOf(entry.joined)));
    }

    /**
     * Records that a caller has left. A joined call is taken out; another call stays open until {@link #close}. An
     * attempt is to be cancelled only when nobody waits for its answer any more.
     *
     * @param request the call whose caller left
     * @return the open call whose attempt is to be cancelled, or empty
     */
    public synchronized Optional<RequestId> cancel(RequestId request) {
        RequestId holder = joiners.remove(request);
        Entry entry = calls.get(holder == null ? request : holder);
        if (entry == null) {
            return Optional.empty();
        }
        if (holder == null) {
            entry.callerGone = true;
        } else {
            entry.joined.remove(request);
        }
        boolean unwanted = entry.callerGone && entry.joined.isEmpty();
        return unwanted ? Optional.of(entry.call.request()) : Optional.empty();
    }

    /**
     * Finds an open call.
     *
     * @param request the call
     * @return the call, or empty
     */
    public synchronized Optional<OpenCall> find(RequestId request) {
        return Optional.ofNullable(calls.get(request)).map(entry -> entry.call);
    }

    /**
     * Finds the open call that holds a key.
     *
     * @param orderName name of the {@code orders} object
     * @return the call, or empty
     */
    public synchronized Optional<OpenCall> findOrder(String orderName) {
        return Optional.ofNullable(orders.get(orderName)).map(calls::get).map(entry -> entry.call);
    }

    /**
     * Returns the open calls in order of arrival, without joined ones.
     *
     * @return the calls
     */
    public synchronized ImmutableList<OpenCall> openCalls() {
        return calls.values().stream().map(entry -> entry.call).collect(ImmutableList.toImmutableList());
    }

    /** Refuses further calls because the daemon is shutting down. */
    public synchronized void stop() {
        stopping = true;
    }

    /**
     * Tells whether the daemon may exit.
     *
     * @return true when no call is open and no further one can be opened
     */
    public synchronized boolean isDrained() {
        return stopping && calls.isEmpty();
    }

    /**
     * Returns how many calls are open, without joined ones.
     *
     * @return the number of calls
     */
    public synchronized int size() {
        return calls.size();
    }
}
