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
 * Which addresses of plain services are leaving, as the services report themselves. A service that does not answer is
 * not leaving: its calls find out by themselves.
 */
public final class ServiceStatusTracker {
    /** Interval of {@link #refresh}; with the timeout it stays below the 3 s within which new work must end. */
    public static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);

    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final ConfigTable config;
    private final ServiceClient services;
    private volatile ImmutableSet<String> leaving = ImmutableSet.of();

    /**
     * Creates a view in which no service is leaving.
     *
     * @param config names the services
     * @param services client of the services
     */
    public ServiceStatusTracker(ConfigTable config, ServiceClient services) {
        this.config = config;
        this.services = services;
    }

    /** Asks all addresses. Blocks for at most one timeout, because the addresses are asked in parallel. */
    public void refresh() {
        Optional<ReleaseNote> note = config.inForce().map(release -> release.note());
        ImmutableSet<String> addresses = note.stream()
                .flatMap(present -> present.services().values().stream())
                .filter(ServiceSpec.PlainService.class::isInstance)
                .flatMap(spec -> ((ServiceSpec.PlainService) spec).addresses().stream())
                .map(ServiceSpec.ServiceAddress::address)
                .collect(ImmutableSet.toImmutableSet());
        ImmutableSet<String> known = leaving;
        ConcurrentMap<String, Boolean> answers = new ConcurrentHashMap<>();
        try (ExecutorService parallel = Executors.newVirtualThreadPerTaskExecutor()) {
            for (String address : addresses) {
                parallel.execute(() -> answers.put(address, isLeavingNow(address, known)));
            }
        }
        leaving = addresses.stream()
                .filter(address -> answers.getOrDefault(address, false))
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Tells whether an address takes no new calls.
     *
     * @param address {@code ip:port}
     * @return true when the service reported that it is leaving
     */
    public boolean isLeaving(String address) {
        return leaving.contains(address);
    }

    /** A service that reported leaving and then stopped answering is still leaving. */
    private boolean isLeavingNow(String address, ImmutableSet<String> known) {
        return switch (services.status(address, TIMEOUT)) {
            case LEAVING -> true;
            case READY -> false;
            case NO_ANSWER -> known.contains(address);
        };
    }
}
