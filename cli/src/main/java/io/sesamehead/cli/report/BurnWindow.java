package io.sesamehead.cli.report;

/** Windows over which burn is computed: two short ones for fast burn, two long ones for slow burn. */
public enum BurnWindow {
    /** Five minutes; tells whether a fast burn still goes on. */
    FIVE_MINUTES("5m", 5),
    /** One hour; fast burn. */
    ONE_HOUR("1h", 60),
    /** Six hours; tells whether a slow burn still goes on. */
    SIX_HOURS("6h", 6 * 60),
    /** Three days; slow burn and the budget left. */
    THREE_DAYS("3d", 3 * 24 * 60);

    private static final long MILLIS_PER_MINUTE = 60_000;

    private final String label;
    private final long minutes;

    BurnWindow(String label, long minutes) {
        this.label = label;
        this.minutes = minutes;
    }

    /**
     * Returns the short name.
     *
     * @return a name such as {@code 1h}
     */
    public String label() {
        return label;
    }

    /**
     * Returns the length.
     *
     * @return the length in milliseconds
     */
    public long millis() {
        return minutes * MILLIS_PER_MINUTE;
    }
}
