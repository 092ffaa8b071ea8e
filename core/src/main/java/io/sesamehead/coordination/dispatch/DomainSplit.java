package io.sesamehead.coordination.dispatch;

import io.sesamehead.state.FailureDomain;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Division of the calls of one pool among failure domains. Calls leave their domain while that saves them and the others
 * more time than the way costs. All daemons compute the same division from the same figures, and each applies its
 * fractions at random, so that together they send what was computed.
 */
public final class DomainSplit {
    /** Parts into which the calls are divided to move them one by one. */
    private static final int PARTS = 256;
    /**
     * Slots of a target that should stay free, in square roots of its slots. Calls at one target vary by about one square
     * root of their number, and daemons that act on reports 300 ms old do not fill targets evenly: at two thirds of the
     * slots, a tenth of the calls find their target full.
     */
    private static final double SPARE_SLOTS_FACTOR = 2;
    /**
     * Calls that leave a domain, in square roots of its demand, below which none begins to leave. Random variation of the
     * demand would otherwise send calls back and forth between equally loaded domains.
     */
    private static final double BEGIN_FACTOR = 1.5;
    /** The same for a domain that calls leave already, so that they go on while the load varies. */
    private static final double CONTINUE_FACTOR = 0.5;
    /**
     * Time that one more call costs in a domain whose slots are all taken, in milliseconds, for itself and the others: it
     * waits for a slot, and delays the calls that arrive after it.
     */
    private static final double FULL_WAIT_MILLIS = 600;
    /** Cost of a call in a domain without slots, in milliseconds: more than any way costs. */
    private static final double NO_SLOT_MILLIS = 1e9;
    /** Smallest demand of a domain, in calls, so that the next call of an idle domain has a destination. */
    private static final double MIN_DEMAND = 0.5;

    private final List<DomainLoad> domains;
    /** Calls in flight by origin and destination, in the order of the domains. */
    private final double[][] calls;

    /**
     * Demand and slots of one failure domain.
     *
     * @param domain the failure domain
     * @param targets number of its usable targets
     * @param slots number of their slots
     * @param demand calls in flight that came from it, wherever they run
     */
    public record DomainLoad(FailureDomain domain, int targets, int slots, double demand) {}

    /** What the way to another failure domain costs. */
    @FunctionalInterface
    public interface WayCost {
        /**
         * Returns the cost of the way of one call, to the other domain and back.
         *
         * @param origin failure domain that the call comes from
         * @param destination failure domain of the target
         * @return the cost in milliseconds, bytes included
         */
        double millis(FailureDomain origin, FailureDomain destination);
    }

    /** Load of each domain while calls are moved. */
    private final double[] load;

    private final boolean[] kept;
    private final boolean[] sends;
    private final boolean[] receives;

    /** A way that a part of the calls takes, by the positions of the domains. */
    private record Move(int from, int to) {}

    private DomainSplit(List<DomainLoad> domains) {
        this.domains = List.copyOf(domains);
        int count = domains.size();
        this.calls = new double[count][count];
        this.load = new double[count];
        this.kept = new boolean[count];
        this.sends = new boolean[count];
        this.receives = new boolean[count];
    }

    /**
     * Computes the division. Calls move from the domain where one call less saves the most to the one where one more costs
     * least, until no way pays. A domain that receives calls sends none away.
     *
     * @param domains the failure domains, in the same order at every daemon
     * @param way cost of the way between two domains
     * @param callMillis time that a call adds to another one at the same target, in milliseconds
     * @param before the previous division, if any
     * @return the division
     */
    public static DomainSplit compute(
            List<DomainLoad> domains, WayCost way, double callMillis, Optional<DomainSplit> before) {
        DomainSplit split = new DomainSplit(domains);
        do {
            split.moveCalls(way, callMillis);
        } while (split.keepFewLeavers(before));
        return split;
    }

    /**
     * Keeps the calls of domains at home that only few would leave.
     *
     * @return whether there is such a domain, so that the calls of the others have to be divided again
     */
    private boolean keepFewLeavers(Optional<DomainSplit> before) {
        boolean any = false;
        for (int i = 0; i < load.length; i++) {
            double demand = Math.max(MIN_DEMAND, domains.get(i).demand());
            double leaving = demand - calls[i][i];
            FailureDomain domain = domains.get(i).domain();
            boolean begun = before.isPresent() && before.get().isLeft(domain);
            double factor = begun ? CONTINUE_FACTOR : BEGIN_FACTOR;
            if (domains.get(i).slots() > 0 && leaving > 0 && leaving < factor * Math.sqrt(demand)) {
                kept[i] = true;
                any = true;
            }
        }
        return any;
    }

    private void moveCalls(WayCost way, double callMillis) {
        double total = 0;
        Arrays.fill(sends, false);
        Arrays.fill(receives, false);
        for (int i = 0; i < load.length; i++) {
            Arrays.fill(calls[i], 0);
            load[i] = Math.max(MIN_DEMAND, domains.get(i).demand());
            calls[i][i] = load[i];
            total += load[i];
        }
        double size = total / PARTS;
        // Each domain may end with a part that is smaller than the others.
        for (int part = 0; part < PARTS + load.length; part++) {
            Optional<Move> best = bestMove(size, way, callMillis);
            if (best.isEmpty()) {
                return;
            }
            int from = best.get().from();
            int to = best.get().to();
            double moved = Math.min(size, calls[from][from]);
            calls[from][from] -= moved;
            calls[from][to] += moved;
            load[from] -= moved;
            load[to] += moved;
            sends[from] = true;
            receives[to] = true;
        }
    }

    private Optional<Move> bestMove(double size, WayCost way, double callMillis) {
        Optional<Move> best = Optional.empty();
        double bestGain = 0;
        for (int from = 0; from < load.length; from++) {
            if (kept[from] || receives[from] || calls[from][from] <= 0) {
                continue;
            }
            DomainLoad origin = domains.get(from);
            double saved = costMillis(origin, load[from] - size / 2, callMillis);
            for (int to = 0; to < load.length; to++) {
                DomainLoad other = domains.get(to);
                if (to == from || sends[to] || other.slots() == 0) {
                    continue;
                }
                double gain = saved
                        - costMillis(other, load[to] + size / 2, callMillis)
                        - way.millis(origin.domain(), other.domain());
                if (gain > bestGain) {
                    bestGain = gain;
                    best = Optional.of(new Move(from, to));
                }
            }
        }
        return best;
    }

    private boolean isLeft(FailureDomain domain) {
        int index = indexOf(domain);
        return index >= 0 && sends[index];
    }

    /** Returns what one more call costs in a domain: the time that it adds to others there, and its wait. */
    private static double costMillis(DomainLoad domain, double load, double callMillis) {
        if (domain.slots() == 0) {
            return NO_SLOT_MILLIS;
        }
        double slots = (double) domain.slots() / domain.targets();
        double calls = load / domain.targets();
        double spare = Math.min(slots / 2, SPARE_SLOTS_FACTOR * Math.sqrt(slots));
        double overload = Math.max(0, calls - (slots - spare)) / spare;
        return callMillis * calls + FULL_WAIT_MILLIS * overload;
    }

    /**
     * Returns the fraction of an origin's calls that go to a destination.
     *
     * @param origin failure domain that the calls come from
     * @param destination failure domain of their targets
     * @return the fraction, 0 for a domain that is not part of the division
     */
    public double fraction(FailureDomain origin, FailureDomain destination) {
        int from = indexOf(origin);
        int to = indexOf(destination);
        return from < 0 || to < 0
                ? 0
                : calls[from][to] / Math.max(MIN_DEMAND, domains.get(from).demand());
    }

    /**
     * Returns the load of a domain after the division.
     *
     * @param domain the failure domain
     * @return calls in flight per slot, 0 for a domain without slots
     */
    public double level(FailureDomain domain) {
        int index = indexOf(domain);
        if (index < 0 || domains.get(index).slots() == 0) {
            return 0;
        }
        return load[index] / domains.get(index).slots();
    }

    /**
     * Chooses the destination of one call.
     *
     * @param origin failure domain that the call comes from
     * @param random uniformly distributed number, 0 to 1
     * @return the failure domain to send the call to
     */
    public FailureDomain choose(FailureDomain origin, double random) {
        double left = random;
        for (DomainLoad other : domains) {
            double fraction = other.domain().equals(origin) ? 0 : fraction(origin, other.domain());
            if (left < fraction) {
                return other.domain();
            }
            left -= fraction;
        }
        return origin;
    }

    private int indexOf(FailureDomain domain) {
        for (int i = 0; i < domains.size(); i++) {
            if (domains.get(i).domain().equals(domain)) {
                return i;
            }
        }
        return -1;
    }
}
