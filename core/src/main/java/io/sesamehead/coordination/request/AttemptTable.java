package io.sesamehead.coordination.request;

import io.sesamehead.state.AttemptId;
import io.sesamehead.state.Incarnation;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The live attempts of a daemon, each bound to the connection that carries it. A frame is accepted only when it names a
 * live attempt and arrives on that attempt's connection, so that a late frame never reaches another request.
 * Thread-safe without a lock of its own.
 */
public final class AttemptTable {
    private final ConcurrentMap<AttemptId, Incarnation> connections = new ConcurrentHashMap<>();
    private final LongAdder rejected = new LongAdder();

    /**
     * Makes an attempt live.
     *
     * @param attempt the attempt
     * @param connection incarnation of the connection that carries it
     * @throws IllegalStateException if the attempt is live already
     */
    public void open(AttemptId attempt, Incarnation connection) {
        if (connections.putIfAbsent(attempt, connection) != null) {
            throw new IllegalStateException("attempt is live already: " + attempt);
        }
    }

    /**
     * Tells whether a frame belongs to a live attempt, and counts it when it does not.
     *
     * @param attempt the attempt that the frame names
     * @param connection incarnation of the connection on which the frame arrived
     * @return true when the frame may be used
     */
    public boolean accept(AttemptId attempt, Incarnation connection) {
        if (connection.equals(connections.get(attempt))) {
            return true;
        }
        rejected.increment();
        return false;
    }

    /**
     * Ends an attempt. Only one caller gets true, so the end of an attempt is handled once.
     *
     * @param attempt the attempt
     * @param connection incarnation of its connection
     * @return true when the attempt was live on that connection
     */
    public boolean close(AttemptId attempt, Incarnation connection) {
        return connections.remove(attempt, connection);
    }

    /**
     * Returns how many attempts are live.
     *
     * @return the number of attempts
     */
    public int liveCount() {
        return connections.size();
    }

    /**
     * Returns how many frames were rejected since the start.
     *
     * @return the number of frames
     */
    public long rejectedFrames() {
        return rejected.sum();
    }
}
