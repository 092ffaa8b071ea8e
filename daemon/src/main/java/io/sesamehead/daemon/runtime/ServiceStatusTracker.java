package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.config.ConfigTable;
import io.sesamehead.daemon.transport.ServiceClient;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.ServiceSpec;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Tracks which addresses of plain services report that they are leaving. An address that never reported leaving and does
 * not answer is not treated as leaving; calls to it fail on their own.
 */
public final class ServiceStatusTracker {
    /** Interval of {@link #refresh}; with the timeout it stays below the 3 s within which new work must stop. */
    public static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);

    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final ConfigTable config;
    private final ServiceClient services;
    private volatile ImmutableSet<String> leaving = ImmutableSet.of();

    /**
     * Creates a tracker in which no address is leaving.
     *
     * @param config configuration that lists the services
     * @param services client for the services
     */
    public ServiceStatusTracker(ConfigTable config, ServiceClient services) {
        this.config = config;
        this.services = services;
    }

    /** Queries all addresses in parallel. Blocks for a maximum of one timeout. */
    public void refresh() {
        Optional<ReleaseNote> current = config.inForce().map(release -> release.note());
        ImmutableSet<String> addresses = current.stream()
                .flatMap(note -> note.services().values().stream())
                .filter(ServiceSpec.PlainService.class::isInstance)
                .flatMap(spec -> ((ServiceSpec.PlainService) spec).addresses().stream())
                .map(ServiceSpec.ServiceAddress::address)
                .collect(ImmutableSet.toImmutableSet());
        ImmutableSet<String> previous = leaving;
        ConcurrentMap<String, Boolean> leavingByAddress = new ConcurrentHashMap<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (String address : addresses) {
                executor.execute(() -> leavingByAddress.put(address, isLeavingNow(address, previous)));
            }
        }
        leaving = addresses.stream()
                .filter(address -> leavingByAddress.getOrDefault(address, false))
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Returns whether an address must get no new calls.
     *
     * @param address {@code ip:port}
     * @return true if the service reported that it is leaving
     */
    public boolean isLeaving(String address) {
        return leaving.contains(address);
    }

    /** An address that reported leaving and then stopped answering is still leaving. */
    private boolean isLeavingNow(String address, ImmutableSet<String> previous) {
        return switch (services.status(address, TIMEOUT)) {
            case LEAVING -> true;
            case READY -> false;
            case NO_ANSWER -> previous.contains(address);
        };
    }
}
