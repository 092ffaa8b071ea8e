package io.sesamehead.coordination.group;

import io.sesamehead.state.ReleaseNote.PolicySettings;

/** Decides whether to wait for a missing member or to replace it. */
public sealed interface RepairPolicy {
    /**
     * Whether to repair a broken group now.
     *
     * @param brokenMillis time since the group broke, in milliseconds
     * @param reloadMillis expected time until a repaired group serves, in milliseconds
     * @return true to repair, false to wait
     */
    boolean repairNow(long brokenMillis, long reloadMillis);

    /**
     * Returns the policy for a release note.
     *
     * @param settings the policy settings of the note
     * @return the policy
     * @throws IllegalArgumentException if the policy name is unknown
     */
    static RepairPolicy of(PolicySettings settings) {
        return named(settings.repair());
    }

    /**
     * Returns the policy with a name.
     *
     * @param name {@code fixed-timeout} or {@code reload-proportional}
     * @return the policy
     * @throws IllegalArgumentException if the name is unknown
     */
    static RepairPolicy named(String name) {
        return switch (name) {
            case "fixed-timeout" -> new FixedTimeout(FixedTimeout.DEFAULT_MILLIS);
            case "reload-proportional" -> new ReloadProportional(1.0);
            default ->
                throw new IllegalArgumentException(
                        "unknown repair policy " + name + ", expected fixed-timeout or reload-proportional");
        };
    }

    /**
     * Repairs after a fixed time.
     *
     * @param waitMillis time to wait for the missing member, in milliseconds
     */
    record FixedTimeout(long waitMillis) implements RepairPolicy {
        /** Most engine processes restart within this time. */
        static final long DEFAULT_MILLIS = 30_000;

        @Override
        public boolean repairNow(long brokenMillis, long reloadMillis) {
            return brokenMillis >= waitMillis;
        }
    }

    /**
     * Waits for a multiple of the reload time before repairing. With factor 1, the downtime is no more than twice that
     * of the optimal choice in hindsight.
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
