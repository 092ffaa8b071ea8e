package io.sesamehead.cli.operator;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.ServiceSpec;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What the note asks of one service in one failure domain, beside what is.
 *
 * @param service the service
 * @param failureDomain the failure domain
 * @param desired groups that the note asks for
 * @param version version of the model that the note asks for, empty when it asks for none
 * @param serving groups recorded as serving with that version
 * @param forming groups that are being formed
 * @param broken groups with a missing member
 * @param releasing groups that are being dissolved
 * @param otherVersion groups recorded as serving with another model or version
 */
public record ServiceStatus(
        ServiceName service,
        FailureDomain failureDomain,
        int desired,
        String version,
        int serving,
        int forming,
        int broken,
        int releasing,
        int otherVersion) {
    /**
     * Tells whether the groups are what the note asks for.
     *
     * @return true when as many serve as asked and no other group is left
     */
    public boolean converged() {
        return serving == desired && forming + broken + releasing + otherVersion == 0;
    }

    /**
     * Compares a note with assignments.
     *
     * @param note the accepted note
     * @param assignments assignments of all failure domains
     * @return one entry for each model service and failure domain that the note or an assignment names
     */
    public static ImmutableList<ServiceStatus> compare(ReleaseNote note, List<GroupAssignment> assignments) {
        Set<String> keys = new TreeSet<>();
        ImmutableList.Builder<ServiceStatus> result = ImmutableList.builder();
        for (ServiceSpec spec : note.services().values()) {
            if (spec instanceof ServiceSpec.ModelService model) {
                model.failureDomains().forEach(domain -> keys.add(key(model.name(), domain)));
            }
        }
        for (GroupAssignment assignment : assignments) {
            assignment.groups().forEach(group -> keys.add(key(group.service(), assignment.failureDomain())));
        }
        for (String key : keys) {
            int separator = key.indexOf('\n');
            ServiceName service = new ServiceName(key.substring(0, separator));
            FailureDomain domain = new FailureDomain(key.substring(separator + 1));
            result.add(compare(service, domain, note.services().get(service), assignments));
        }
        return result.build();
    }

    private static String key(ServiceName service, FailureDomain domain) {
        return service.value() + "\n" + domain.value();
    }

    private static ServiceStatus compare(
            ServiceName service, FailureDomain domain, ServiceSpec spec, List<GroupAssignment> assignments) {
        List<Group> groups = assignments.stream()
                .filter(assignment -> assignment.failureDomain().equals(domain))
                .flatMap(assignment -> assignment.groups().stream())
                .filter(group -> group.service().equals(service))
                .toList();
        boolean asked = spec instanceof ServiceSpec.ModelService model
                && model.failureDomains().contains(domain);
        int replicas = asked ? ((ServiceSpec.ModelService) spec).replicas() : 0;
        String version = asked ? ((ServiceSpec.ModelService) spec).version() : "";
        int current = (int) groups.stream()
                .filter(group -> group.state() == GroupState.SERVING && carries(group, spec))
                .count();
        return new ServiceStatus(
                service,
                domain,
                replicas,
                version,
                current,
                count(groups, GroupState.FORMING),
                count(groups, GroupState.BROKEN),
                count(groups, GroupState.RELEASING),
                count(groups, GroupState.SERVING) - current);
    }

    private static boolean carries(Group group, ServiceSpec spec) {
        return spec instanceof ServiceSpec.ModelService model
                && group.model().equals(model.model())
                && group.version().equals(model.version());
    }

    private static int count(List<Group> groups, GroupState state) {
        return (int) groups.stream().filter(group -> group.state() == state).count();
    }
}
