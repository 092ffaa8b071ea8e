package io.sesamehead.daemon.transport;

import java.util.ArrayList;
import java.util.List;

/** Signal that stops an attempt from another thread. Actions run at most once, on the cancelling thread. */
public final class Cancellation {
    private final List<Runnable> actions = new ArrayList<>();
    private boolean cancelled;

    /** Cancels; later calls have no effect. */
    public void cancel() {
        List<Runnable> due;
        synchronized (this) {
            if (cancelled) {
                return;
            }
            cancelled = true;
            due = List.copyOf(actions);
            actions.clear();
        }
        due.forEach(Runnable::run);
    }

    /**
     * Tells whether the signal was given.
     *
     * @return true after {@link #cancel()}
     */
    public synchronized boolean cancelled() {
        return cancelled;
    }

    /**
     * Registers an action; it runs at once when the signal was already given.
     *
     * @param action the action, which must not block
     */
    public void onCancel(Runnable action) {
        synchronized (this) {
            if (!cancelled) {
                actions.add(action);
                return;
            }
        }
        action.run();
    }

    /**
     * Removes an action.
     *
     * @param action the action as it was registered
     */
    public synchronized void remove(Runnable action) {
        actions.remove(action);
    }
}
