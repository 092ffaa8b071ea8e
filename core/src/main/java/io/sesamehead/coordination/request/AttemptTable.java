package io.sesamehead.coordination.request;

import io.sesamehead.state.AttemptId;
import io.sesamehead.state.Incarnation;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Live attempts of a daemon, each bound to its connection. A frame is accepted only if it refers to a live attempt and
 * arrives on that attempt's connection, so that a late frame never reaches another request. Thread-safe without a lock
 * of its own.
 */
public final class AttemptTable {
    private final ConcurrentMap<AttemptId, Incarnation> connections = new ConcurrentHashMap<>();
    private final LongAdder rejected = new LongAdder();

    /**
     * Registers a live attempt.
     *
     * @param attempt the attempt
     * @param connection incarnation of its connection
     * @throws IllegalStateException if the attempt is already live
     */
    public void open(AttemptId attempt, Incarnation connection) {
        if (connections.putIfAbsent(attempt, connection) != null) {
            throw new IllegalStateException("attempt is already live: " + attempt);
        }
    }

    /**
     * Returns whether a frame belongs to a live attempt. Counts the frame as rejected if it does not.
     *
     * @param attempt the attempt that the frame refers to
     * @param connection incarnation of the connection on which the frame arrived
     * @return true if the frame is accepted
     */
    public boolean accept(AttemptId attempt, Incarnation connection) {
        if (connection.equals(connections.get(attempt))) {
            return true;
        }
        rejected.increment();
        return false;
    }

    /**
     * Removes a live attempt. Only one caller receives true, so the end of an attempt is handled once.
     *
     * @param attempt the attempt
     * @param connection incarnation of its connection
     * @return true if the attempt was live on that connection
     */
    public boolean close(AttemptId attempt, Incarnation connection) {
        return connections.remove(attempt, connection);
    }

    /**
     * Returns the number of live attempts.
     *
     * @return the number of attempts
     */
    public int liveCount() {
        return connections.size();
    }

    /**
     * Returns the number of frames rejected since this table was created.
     *
     * @return the number of frames
     */
    public long rejectedFrames() {
        return rejected.sum();
    }
}
