package io.sesamehead.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.ServiceName;
import java.util.Comparator;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Service-level burn of every service and client account. */
public final class ServiceLevelRegistry {
    /** Account names come from callers; beyond this many pairs further accounts are counted together. */
    private static final int MAX_KEYS = 500;

    private static final ClientAccount OTHER_ACCOUNTS = new ClientAccount("others");

    private final MetricRegistry registry;
    private final ConcurrentMap<Key, ServiceLevelMetrics> levels = new ConcurrentHashMap<>();

    private record Key(ServiceName service, ClientAccount account) {}

    /**
     * Creates counters without calls.
     *
     * @param registry registry in which they are published
     */
    public ServiceLevelRegistry(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Returns the counters of a service and account.
     *
     * @param service a service of the release note
     * @param account the client account
     * @return the counters
     */
    public ServiceLevelMetrics of(ServiceName service, ClientAccount account) {
        Key key = new Key(service, account);
        boolean full = !levels.containsKey(key) && levels.size() >= MAX_KEYS;
        return levels.computeIfAbsent(full ? new Key(service, OTHER_ACCOUNTS) : key, this::create);
    }

    /**
     * Returns the burn as JSON.
     *
     * @return one object for each service and account
     */
    public ArrayNode toJson() {
        ArrayNode list = Json.array();
        levels.entrySet().stream()
                .sorted(Comparator.comparing(entry -> entry.getKey().toString()))
                .forEach(entry -> {
                    ObjectNode item = Json.object()
                            .put("service", entry.getKey().service().value())
                            .put("account", entry.getKey().account().value());
                    item.setAll(entry.getValue().toJson());
                    list.add(item);
                });
        return list;
    }

    private ServiceLevelMetrics create(Key key) {
        return new ServiceLevelMetrics(
                registry,
                MetricRegistry.name(
                        "calls", key.service().value(), key.account().value()));
    }
}
