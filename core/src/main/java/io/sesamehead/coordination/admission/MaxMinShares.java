package io.sesamehead.coordination.admission;

/** Divides a quantity by max-min fairness: equal shares, where what one claimant leaves unused is lent to the others. */
public final class MaxMinShares {
    /** Halvings of the interval that contains the equal share. The rest is far below any rate that matters. */
    private static final int BISECTIONS = 50;

    private MaxMinShares() {}

    /**
     * Divides a quantity.
     *
     * @param demands demand of each claimant, not negative
     * @param floors least share of each claimant as far as it demands it; their sum does not exceed the quantity
     * @param available the quantity
     * @return the share of each claimant: its demand, the equal share or its floor, whichever of the latter is larger
     */
    public static double[] divide(double[] demands, double[] floors, double available) {
        double level = level(demands, floors, available);
        double[] shares = new double[demands.length];
        for (int i = 0; i < demands.length; i++) {
            shares[i] = share(demands[i], floors[i], level);
        }
        return shares;
    }

    /**
     * Divides a quantity without floors.
     *
     * @param demands demand of each claimant, not negative
     * @param available the quantity
     * @return the share of each claimant: its demand or the equal share
     */
    public static double[] divide(double[] demands, double available) {
        return divide(demands, new double[demands.length], available);
    }

    /** Returns the equal share at which the quantity is used up, or the largest demand if it suffices for all. */
    private static double level(double[] demands, double[] floors, double available) {
        double total = 0;
        double high = 0;
        for (double demand : demands) {
            total += demand;
            high = Math.max(high, demand);
        }
        if (total <= available) {
            return high;
        }
        double low = 0;
        for (int i = 0; i < BISECTIONS; i++) {
            double middle = (low + high) / 2;
            double used = 0;
            for (int k = 0; k < demands.length; k++) {
                used += share(demands[k], floors[k], middle);
            }
            if (used > available) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return low;
    }

    private static double share(double demand, double floor, double level) {
        return Math.min(demand, Math.max(floor, level));
    }
}
