package io.sesamehead.daemon.runtime;

import io.sesamehead.daemon.transport.Cancellation;
import io.sesamehead.state.Group;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** The attempts in flight of this daemon, so that they can be ended from outside. */
public final class InFlightAttempts {
    private final Set<Attempt> attempts = ConcurrentHashMap.newKeySet();
    private volatile boolean shutDown;

    /** Why an attempt was ended from outside. */
    public enum Reason {
        /** Its group is no longer complete. */
        GROUP_BROKEN,
        /** The daemon exits. */
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
         * Returns the signal that ends the attempt.
         *
         * @return the signal
         */
        public Cancellation cancellation() {
            return cancellation;
        }

        /**
         * Returns why the attempt was ended from outside.
         *
         * @return the reason, or empty when it was not
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
     * @param group group that runs it, or empty when it runs elsewhere
     * @return the attempt; {@link #remove} must follow
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
     * Tells whether there are no attempts.
     *
     * @return true when nothing is in flight
     */
    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    /**
     * Ends the attempts on groups that are no longer complete; they resume on another group.
     *
     * @param isBroken tells whether a group is no longer complete
     */
    public void endBroken(Predicate<Group> isBroken) {
        for (Attempt attempt : attempts) {
            if (attempt.group.isPresent() && isBroken.test(attempt.group.get())) {
                attempt.end(Reason.GROUP_BROKEN);
            }
        }
    }

    /** Ends all attempts, also those that begin later, because the daemon exits. */
    public void endAll() {
        shutDown = true;
        attempts.forEach(attempt -> attempt.end(Reason.SHUTDOWN));
    }
}
