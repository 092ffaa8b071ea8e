package io.sesamehead.daemon.runtime;

import io.sesamehead.daemon.transport.Cancellation;
import io.sesamehead.state.Group;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** The attempts in flight of this daemon, so that they can be ended from outside. */
public final class LiveAttempts {
    private final Set<Live> attempts = ConcurrentHashMap.newKeySet();
    private volatile boolean ended;

    /** Why an attempt was ended from outside. */
    public enum Reason {
        /** Its group is no longer complete. */
        GROUP_BROKEN,
        /** The daemon exits. */
        SHUTDOWN
    }

    /** One attempt in flight. */
    public static final class Live {
        private final Optional<Group> group;
        private final Cancellation cancellation = new Cancellation();
        private volatile Optional<Reason> reason = Optional.empty();

        private Live(Optional<Group> group) {
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
    public LiveAttempts() {}

    /**
     * Adds an attempt.
     *
     * @param group group that runs it, or empty when it runs elsewhere
     * @return the attempt; {@link #remove} must follow
     */
    public Live add(Optional<Group> group) {
        Live live = new Live(group);
        attempts.add(live);
        if (ended) {
            live.end(Reason.SHUTDOWN);
        }
        return live;
    }

    /**
     * Removes an attempt.
     *
     * @param live the attempt
     */
    public void remove(Live live) {
        attempts.remove(live);
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
     * @param broken tells whether a group is no longer complete
     */
    public void endBroken(Predicate<Group> broken) {
        for (Live live : attempts) {
            if (live.group.isPresent() && broken.test(live.group.get())) {
                live.end(Reason.GROUP_BROKEN);
            }
        }
    }

    /** Ends all attempts, also those that begin later, because the daemon exits. */
    public void endAll() {
        ended = true;
        attempts.forEach(live -> live.end(Reason.SHUTDOWN));
    }
}
