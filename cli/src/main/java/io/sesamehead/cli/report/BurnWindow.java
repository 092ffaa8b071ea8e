package io.sesamehead.cli.report;

/** Windows over which burn rates are computed: two short ones for fast burn and two long ones for slow burn. */
public enum BurnWindow {
    /** Five minutes; shows whether a fast burn is still ongoing. */
    FIVE_MINUTES("5m", 5),
    /** One hour; detects fast burn. */
    ONE_HOUR("1h", 60),
    /** Six hours; shows whether a slow burn is still ongoing. */
    SIX_HOURS("6h", 6 * 60),
    /** Three days; detects slow burn and determines the remaining budget. */
    THREE_DAYS("3d", 3 * 24 * 60);

    private static final long MILLIS_PER_MINUTE = 60_000;

    private final String label;
    private final long minutes;

    BurnWindow(String label, long minutes) {
        this.label = label;
        this.minutes = minutes;
    }

    /**
     * Returns the label in reports.
     *
     * @return a label such as {@code 1h}
     */
    public String label() {
        return label;
    }

    /**
     * Returns the length of the window.
     *
     * @return the length in milliseconds
     */
    public long millis() {
        return minutes * MILLIS_PER_MINUTE;
    }
}
