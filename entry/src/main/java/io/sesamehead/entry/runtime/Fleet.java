package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.coordination.catalog.ModelProfile;
import io.sesamehead.coordination.catalog.ServiceProfile;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.replica.Replica;
import io.sesamehead.coordination.replica.ReplicaIndex;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The targets that calls can go to, derived from the registry and the configuration after each change of either. */
final class Fleet {
    private static final String PLAIN = "";

    private Map<ServiceName, Map<String, List<Target>>> targets = Map.of();
    private Map<ServiceName, List<UpstreamEntry>> upstreams = Map.of();
    private Set<TargetKey> known = Set.of();

    /** Derives the targets anew. */
    void update(Collection<UpstreamEntry> entries, ServingConfig config) {
        Map<ServiceName, List<UpstreamEntry>> byService = new HashMap<>();
        for (UpstreamEntry entry : entries) {
            byService
                    .computeIfAbsent(entry.service(), name -> new ArrayList<>())
                    .add(entry);
        }
        Map<ServiceName, Map<String, List<Target>>> derived = new HashMap<>();
        Set<TargetKey> keys = new HashSet<>();
        for (ServiceProfile service : config.services().values()) {
            List<UpstreamEntry> members = byService.getOrDefault(service.name(), List.of());
            Map<String, List<Target>> byModel = service.engine().isPresent()
                    ? groups(members, service.engine().get(), keys)
                    : Map.of(PLAIN, plain(members));
            byModel.values().forEach(list -> list.forEach(target -> keys.add(target.key())));
            derived.put(service.name(), byModel);
        }
        targets = derived;
        upstreams = byService;
        known = keys;
    }

    /** Returns the targets of a service that serve a model. */
    List<Target> targets(ServiceName service, Optional<String> model) {
        Map<String, List<Target>> byModel = targets.getOrDefault(service, Map.of());
        if (byModel.containsKey(PLAIN)) {
            return byModel.get(PLAIN);
        }
        return byModel.getOrDefault(model.orElse(PLAIN), List.of());
    }

    /** Returns all targets that serve now. */
    List<Target> servingTargets() {
        List<Target> all = new ArrayList<>();
        targets.values().forEach(byModel -> byModel.values().forEach(all::addAll));
        return all;
    }

    /** Returns the names of all targets that serve now. */
    Set<TargetKey> servingKeys() {
        Set<TargetKey> keys = new HashSet<>();
        servingTargets().forEach(target -> keys.add(target.key()));
        return keys;
    }

    /** Returns the upstreams of a service. */
    List<UpstreamEntry> upstreams(ServiceName service) {
        return upstreams.getOrDefault(service, List.of());
    }

    /** Tells whether a target exists, also while it does not take calls. */
    boolean exists(TargetKey key) {
        return known.contains(key);
    }

    private static Map<String, List<Target>> groups(
            List<UpstreamEntry> members, EngineProfile engine, Set<TargetKey> keys) {
        Map<String, List<Target>> byModel = new HashMap<>();
        for (Replica replica : ReplicaIndex.of(members).values()) {
            keys.add(TargetKey.of(replica.key()));
            Optional<ModelProfile> model = replica.key().model().flatMap(engine::model);
            if (model.isPresent() && replica.serving(model.get().groupSize())) {
                UpstreamEntry head = replica.head().orElseThrow();
                Target target = new Target(
                        TargetKey.of(replica.key()),
                        head,
                        engine.slots(),
                        model.get().timeFactor(),
                        Optional.of(engine));
                byModel.computeIfAbsent(model.get().name(), name -> new ArrayList<>())
                        .add(target);
            }
        }
        return byModel;
    }

    private static List<Target> plain(List<UpstreamEntry> members) {
        List<Target> list = new ArrayList<>();
        for (UpstreamEntry entry : members) {
            if (!entry.leaving()) {
                TargetKey key = TargetKey.of(entry.id(), entry.startedAtEpochMillis());
                list.add(new Target(key, entry, Math.max(1, entry.slots()), 1, Optional.empty()));
            }
        }
        return list;
    }
}
