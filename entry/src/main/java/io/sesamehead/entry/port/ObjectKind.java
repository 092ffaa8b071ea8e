package io.sesamehead.entry.port;

import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.replica.UpstreamEntry;

/**
 * A kind of object in the store.
 *
 * @param <T> content of its objects
 */
public sealed interface ObjectKind<T> {
    /** The configuration that operators write. */
    Configuration CONFIGURATION = new Configuration();
    /** The registry of upstreams. */
    Upstreams UPSTREAMS = new Upstreams();
    /** The lease of the controller. */
    ControllerLease CONTROLLER_LEASE = new ControllerLease();
    /** Where the daemons receive one another's reports. */
    Daemons DAEMONS = new Daemons();
    /** Requests that are refused because of their crashes. */
    Crashes CRASHES = new Crashes();

    /**
     * Returns the type of the content.
     *
     * @return the type
     */
    Class<T> type();

    /** The configuration that operators write. */
    record Configuration() implements ObjectKind<ServingConfig> {
        @Override
        public Class<ServingConfig> type() {
            return ServingConfig.class;
        }
    }

    /** The registry of upstreams. */
    record Upstreams() implements ObjectKind<UpstreamEntry> {
        @Override
        public Class<UpstreamEntry> type() {
            return UpstreamEntry.class;
        }
    }

    /** The lease of the controller. */
    record ControllerLease() implements ObjectKind<Lease> {
        @Override
        public Class<Lease> type() {
            return Lease.class;
        }
    }

    /** Requests that are refused because of their crashes. */
    record Crashes() implements ObjectKind<CrashRecord> {
        @Override
        public Class<CrashRecord> type() {
            return CrashRecord.class;
        }
    }

    /** Where the daemons receive one another's reports. */
    record Daemons() implements ObjectKind<DaemonEndpoint> {
        @Override
        public Class<DaemonEndpoint> type() {
            return DaemonEndpoint.class;
        }
    }
}
