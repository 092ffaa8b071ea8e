package io.sesamehead.coordination.replica;

import io.sesamehead.coordination.catalog.ModelProfile;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Numbers of free upstreams by fabric domain and by the model on their host, {@code none} if they have none. Log lines
 * contain the string form.
 *
 * @param byDomain numbers by model, by fabric domain
 */
public record FreeCopies(Map<String, Map<String, Integer>> byDomain) {
    static final FreeCopies NONE = new FreeCopies(Map.of());
    private static final String NO_MODEL = "none";

    static FreeCopies of(FleetView view, List<UpstreamEntry> free) {
        Map<String, Map<String, Integer>> counts = new TreeMap<>();
        for (UpstreamEntry entry : free) {
            String model = view.engine().models().stream()
                    .map(ModelProfile::name)
                    .filter(name -> MemberSelector.hasModel(entry, name))
                    .findFirst()
                    .orElse(NO_MODEL);
            counts.computeIfAbsent(entry.fabricDomain(), domain -> new TreeMap<>())
                    .merge(model, 1, Integer::sum);
        }
        return new FreeCopies(counts);
    }

    @Override
    public String toString() {
        return byDomain.toString();
    }
}
