package io.sesamehead.daemon.runtime;

import io.sesamehead.daemon.transport.Cancellation;
import io.sesamehead.state.Group;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** Tracks the attempts in flight of this daemon, so that other components can cancel them. */
public final class InFlightAttempts {
    private final Set<Attempt> attempts = ConcurrentHashMap.newKeySet();
    private volatile boolean shutDown;

    /** Why another component ended an attempt. */
    public enum Reason {
        /** The group of the attempt is no longer complete. */
        GROUP_BROKEN,
        /** The daemon is shutting down. */
        SHUTDOWN
    }

    /** One attempt in flight. */
    public static final class Attempt {
        private final Optional<Group> group;
        private final Cancellation cancellation = new Cancellation();
        private volatile Optional<Reason> reason = Optional.empty();

        private Attempt(Optional<Group> group) {
            this.group = group;
        }

        /**
         * Returns the cancellation that ends the attempt.
         *
         * @return the cancellation
         */
        public Cancellation cancellation() {
            return cancellation;
        }

        /**
         * Returns why another component ended the attempt.
         *
         * @return the reason, or empty if no other component ended it
         */
        public Optional<Reason> reason() {
            return reason;
        }

        private void end(Reason why) {
            reason = Optional.of(why);
            cancellation.cancel();
        }
    }

    /** Creates an empty set. */
    public InFlightAttempts() {}

    /**
     * Adds an attempt.
     *
     * @param group group that runs the attempt, or empty if no group of this failure domain runs it
     * @return the attempt, which must be removed with {@link #remove}
     */
    public Attempt add(Optional<Group> group) {
        Attempt attempt = new Attempt(group);
        attempts.add(attempt);
        if (shutDown) {
            attempt.end(Reason.SHUTDOWN);
        }
        return attempt;
    }

    /**
     * Removes an attempt.
     *
     * @param attempt the attempt
     */
    public void remove(Attempt attempt) {
        attempts.remove(attempt);
    }

    /**
     * Returns whether no attempt is in flight.
     *
     * @return true if no attempt is in flight
     */
    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    /**
     * Ends the attempts on groups that are no longer complete; they resume on another group.
     *
     * @param isBroken whether a group is no longer complete
     */
    public void endBroken(Predicate<Group> isBroken) {
        for (Attempt attempt : attempts) {
            if (attempt.group.isPresent() && isBroken.test(attempt.group.get())) {
                attempt.end(Reason.GROUP_BROKEN);
            }
        }
    }

    /** Ends all attempts, including those that begin later, because the daemon is shutting down. */
    public void endAll() {
        shutDown = true;
        attempts.forEach(attempt -> attempt.end(Reason.SHUTDOWN));
    }
}
