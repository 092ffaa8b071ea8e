package io.sesamehead.daemon.protocol;

/** Names of the object kinds that sesamehead keeps in the platform's object API. */
public final class ObjectKinds {
    /** Accepted release note; the only object is {@link #CURRENT_RELEASE}. */
    public static final String RELEASES = "releases";

    /** Name of the release object. */
    public static final String CURRENT_RELEASE = "current";

    /** Controller lease of each failure domain. */
    public static final String CONTROLLERS = "controllers";

    /** Group assignment of each failure domain. */
    public static final String GROUP_ASSIGNMENTS = "groupassignments";

    /** Claims and results of keyed calls. */
    public static final String ORDERS = "orders";

    /** Daemons of each failure domain. */
    public static final String DAEMON_DIRECTORIES = "daemondirectories";

    private ObjectKinds() {}
}
