package io.sesamehead.entry.port;

import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.replica.UpstreamEntry;

/**
 * A kind of object in the store.
 *
 * @param <T> content type
 */
public sealed interface ObjectKind<T> {
    /** The configuration written by operators. */
    Configuration CONFIGURATION = new Configuration();
    /** The registry of upstreams. */
    Upstreams UPSTREAMS = new Upstreams();
    /** The lease of the controller. */
    ControllerLease CONTROLLER_LEASE = new ControllerLease();
    /** Endpoints at which daemons receive reports from each other. */
    Daemons DAEMONS = new Daemons();
    /** Requests that are refused because they crashed upstreams. */
    Crashes CRASHES = new Crashes();
    /** Failure domains that operators have evacuated. The name of an object counts, whatever its content. */
    Evacuations EVACUATIONS = new Evacuations();

    /**
     * Returns the content type.
     *
     * @return the type
     */
    Class<T> type();

    /** The configuration written by operators. */
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

    /** Requests that are refused because they crashed upstreams. */
    record Crashes() implements ObjectKind<CrashRecord> {
        @Override
        public Class<CrashRecord> type() {
            return CrashRecord.class;
        }
    }

    /** Endpoints at which daemons receive reports from each other. */
    record Daemons() implements ObjectKind<DaemonEndpoint> {
        @Override
        public Class<DaemonEndpoint> type() {
            return DaemonEndpoint.class;
        }
    }

    /** Failure domains that operators have evacuated. */
    record Evacuations() implements ObjectKind<EvacuationRequest> {
        @Override
        public Class<EvacuationRequest> type() {
            return EvacuationRequest.class;
        }
    }
}
