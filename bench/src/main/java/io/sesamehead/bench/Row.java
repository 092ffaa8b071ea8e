package io.sesamehead.bench;

import java.util.Locale;

/**
 * One line of the table.
 *
 * @param decision the decision
 * @param setting the setting, with the unit of the figures
 * @param seeds the seeds
 * @param baseline name and figure of the baseline
 * @param chosen figure of the chosen policy
 * @param bound the bound
 */
public record Row(String decision, String setting, Seeds seeds, String baseline, double chosen, Bound bound) {
    /**
     * A bound that follows from a stated target.
     *
     * @param kind side on which the figure must stay
     * @param limit the limit
     */
    public record Bound(Kind kind, double limit) {
        /** Side of the limit. */
        public enum Kind {
            /** The figure is at most the limit. */
            AT_MOST,
            /** The figure is at least the limit. */
            AT_LEAST,
            /** No target is stated; the figure is information. */
            NONE
        }

        /**
         * Bounds a figure from above.
         *
         * @param limit the limit
         * @return the bound
         */
        public static Bound atMost(double limit) {
            return new Bound(Kind.AT_MOST, limit);
        }

        /**
         * Bounds a figure from below.
         *
         * @param limit the limit
         * @return the bound
         */
        public static Bound atLeast(double limit) {
            return new Bound(Kind.AT_LEAST, limit);
        }

        /**
         * Returns the bound of a figure without a target.
         *
         * @return the bound
         */
        public static Bound none() {
            return new Bound(Kind.NONE, 0);
        }
    }

    /**
     * Tells whether the chosen policy keeps its bound.
     *
     * @return true also when there is no bound
     */
    public boolean met() {
        return switch (bound.kind()) {
            case AT_MOST -> chosen <= bound.limit();
            case AT_LEAST -> chosen >= bound.limit();
            case NONE -> true;
        };
    }

    /**
     * Formats the line.
     *
     * @return columns of the table, separated by vertical bars
     */
    public String text() {
        String limit = switch (bound.kind()) {
            case AT_MOST -> "<= " + figure(bound.limit());
            case AT_LEAST -> ">= " + figure(bound.limit());
            case NONE -> "-";
        };
        String met = bound.kind() == Bound.Kind.NONE ? "-" : met() ? "yes" : "no";
        return "| " + String.join(" | ", decision, setting, seeds.toString(), baseline, figure(chosen), limit, met)
                + " |";
    }

    /**
     * Formats a figure.
     *
     * @param value the figure
     * @return three decimals, independent of the locale
     */
    public static String figure(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
