package io.sesamehead.daemon.transport;

import java.util.ArrayList;
import java.util.List;

/** Cancels an attempt from another thread. Registered actions run at most once, on the cancelling thread. */
public final class Cancellation {
    private final List<Runnable> actions = new ArrayList<>();
    private boolean cancelled;

    /** Cancels the attempt and runs the registered actions; later calls have no effect. */
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
     * Whether the attempt was cancelled.
     *
     * @return true after {@link #cancel()}
     */
    public synchronized boolean cancelled() {
        return cancelled;
    }

    /**
     * Registers an action to run on cancellation. It runs immediately if the attempt is already cancelled.
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
     * Unregisters an action.
     *
     * @param action the action that was registered
     */
    public synchronized void remove(Runnable action) {
        actions.remove(action);
    }
}
