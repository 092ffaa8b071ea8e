package io.sesamehead.coordination.replica;

import io.sesamehead.coordination.catalog.ModelProfile;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Numbers of free upstreams by the reason for which they are not in a group. Log lines contain the string form.
 *
 * @param reserve could form a group, and are reserved for repairs
 * @param notStaged have no model on their host
 * @param tooFew are fewer in their fabric domain than a group of a model on their hosts needs
 * @param evacuated are in an evacuated failure domain
 */
public record IdleUpstreams(int reserve, int notStaged, int tooFew, int evacuated) {
    static final IdleUpstreams NONE = new IdleUpstreams(0, 0, 0, 0);

    static IdleUpstreams of(FleetView view, List<UpstreamEntry> free, int evacuated) {
        List<ModelProfile> models = view.engine().models();
        int smallestGroup =
                models.stream().mapToInt(ModelProfile::groupSize).min().orElse(0);
        int reserve = 0;
        int notStaged = 0;
        int tooFew = 0;
        for (List<UpstreamEntry> domain : MemberSelector.byFabricDomain(free).values()) {
            Map<String, Integer> copies = new HashMap<>();
            for (UpstreamEntry entry : domain) {
                models.stream()
                        .filter(model -> MemberSelector.hasModel(entry, model.name()))
                        .forEach(model -> copies.merge(model.name(), 1, Integer::sum));
            }
            for (UpstreamEntry entry : domain) {
                List<ModelProfile> own = models.stream()
                        .filter(model -> MemberSelector.hasModel(entry, model.name()))
                        .toList();
                if (domain.size() < smallestGroup) {
                    tooFew++;
                } else if (own.isEmpty()) {
                    notStaged++;
                } else if (own.stream().anyMatch(model -> copies.get(model.name()) >= model.groupSize())) {
                    reserve++;
                } else {
                    tooFew++;
                }
            }
        }
        return new IdleUpstreams(reserve, notStaged, tooFew, evacuated);
    }

    @Override
    public String toString() {
        return "reserve:" + reserve + ",not-staged:" + notStaged + ",too-few:" + tooFew + ",evacuated:" + evacuated;
    }
}
