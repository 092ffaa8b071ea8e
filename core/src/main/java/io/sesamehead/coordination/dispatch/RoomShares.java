package io.sesamehead.coordination.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * This daemon's shares of the calls that contended pools can take. Sums of reports show all daemons the same free slot at
 * the same time, and without shares each of them sends a call there. Every daemon may send an equal part of what a pool can
 * take, so that no messages are needed. Not thread-safe: confined to the event loop.
 */
final class RoomShares {
    /** Load per slot from which a pool is contended: calls that arrive within the age of a report may fill it. */
    private static final double CONTENDED_LOAD = 0.75;
    /** Maximum number of calls that an unused share adds up to. */
    private static final double MAX_CREDIT = 2;
    /** Time after which the share of an unused pool is forgotten, in milliseconds. */
    private static final long UNUSED_MILLIS = 60_000;

    private final RandomGenerator random;
    private final Map<Integer, Credit> credits = new HashMap<>();

    private static final class Credit {
        private double calls;
        private long updatedAtMillis;
    }

    RoomShares(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns whether the targets of a pool together have so few free slots that the daemons must share them.
     *
     * @param targets usable targets of the pool
     * @param table load of the targets
     */
    static boolean isContended(List<Target> targets, TargetTable table) {
        int slots = 0;
        int inFlight = 0;
        for (Target target : targets) {
            slots += target.slots();
            inFlight += table.inFlight(target.key());
        }
        return slots > 0 && inFlight >= slots * CONTENDED_LOAD;
    }

    /**
     * Takes a call out of this daemon's share of a pool, if the share has one.
     *
     * @param pool hash of the pool
     * @param callsPerMilli calls per millisecond that this daemon may send to the pool
     * @param nowMillis current monotonic time, in milliseconds
     * @return whether the call may be sent
     */
    boolean tryTake(int pool, double callsPerMilli, long nowMillis) {
        Credit credit = credits.get(pool);
        if (credit == null) {
            credits.values().removeIf(old -> nowMillis - old.updatedAtMillis > UNUSED_MILLIS);
            credit = new Credit();
            // Daemons that began together would otherwise send their first calls at the same time.
            credit.calls = random.nextDouble();
            credit.updatedAtMillis = nowMillis;
            credits.put(pool, credit);
        }
        long sinceMillis = nowMillis - credit.updatedAtMillis;
        credit.calls = Math.min(MAX_CREDIT, credit.calls + callsPerMilli * sinceMillis);
        credit.updatedAtMillis = nowMillis;
        if (credit.calls < 1) {
            return false;
        }
        credit.calls -= 1;
        return true;
    }
}
