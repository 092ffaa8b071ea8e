package io.sesamehead.daemon.protocol;

/** Names of the object kinds that sesamehead stores in the platform's object API. */
public final class ObjectKinds {
    /** Accepted release note; the only object of this kind is {@link #CURRENT_RELEASE}. */
    public static final String RELEASES = "releases";

    /** Name of the only release object. */
    public static final String CURRENT_RELEASE = "current";

    /** Controller lease of each failure domain. */
    public static final String CONTROLLERS = "controllers";

    /** Group assignment of each failure domain. */
    public static final String GROUP_ASSIGNMENTS = "groupassignments";

    /** Idempotency records: claims and results of calls with an idempotency key. */
    public static final String ORDERS = "orders";

    /** Daemon directory of each failure domain. */
    public static final String DAEMON_DIRECTORIES = "daemondirectories";

    private ObjectKinds() {}
}
