package io.sesamehead.coordination.group;

import io.sesamehead.state.ReleaseNote.PolicySettings;

/** Decides between waiting for a missing member and replacing it. */
public sealed interface RepairPolicy {
    /**
     * Decides about a broken group.
     *
     * @param brokenMillis time since the group broke, in milliseconds
     * @param reloadMillis expected time until a repaired group serves, in milliseconds
     * @return true to repair, false to wait
     */
    boolean repairNow(long brokenMillis, long reloadMillis);

    /**
     * Returns the policy for a release note.
     *
     * @param settings the settings of the note
     * @return the policy
     * @throws IllegalArgumentException for an unknown name
     */
    static RepairPolicy of(PolicySettings settings) {
        return named(settings.repair());
    }

    /**
     * Returns the policy that a release note names.
     *
     * @param name {@code fixed-timeout} or {@code reload-proportional}
     * @return the policy
     * @throws IllegalArgumentException for another name
     */
    static RepairPolicy named(String name) {
        return switch (name) {
            case "fixed-timeout" -> new FixedTimeout(FixedTimeout.DEFAULT_MILLIS);
            case "reload-proportional" -> new ReloadProportional(1.0);
            default -> throw new IllegalArgumentException("unknown repair policy: " + name);
        };
    }

    /**
     * Repairs after a fixed time.
     *
     * @param waitMillis the time, in milliseconds
     */
    record FixedTimeout(long waitMillis) implements RepairPolicy {
        /** Most restarts of an engine process end within this time. */
        static final long DEFAULT_MILLIS = 30_000;

        @Override
        public boolean repairNow(long brokenMillis, long reloadMillis) {
            return brokenMillis >= waitMillis;
        }
    }

    /**
     * Waits as long as the repair would take. With factor 1 the downtime is at most twice that of the best choice in
     * hindsight.
     *
     * @param factor multiple of the reload time
     */
    record ReloadProportional(double factor) implements RepairPolicy {
        @Override
        public boolean repairNow(long brokenMillis, long reloadMillis) {
            return brokenMillis >= factor * reloadMillis;
        }
    }
}
