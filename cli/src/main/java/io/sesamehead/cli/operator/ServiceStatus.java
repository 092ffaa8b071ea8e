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
 * Desired and actual groups of one service in one failure domain.
 *
 * @param service the service
 * @param failureDomain the failure domain
 * @param desired number of groups in the desired state
 * @param version desired version of the model; empty if no groups are desired
 * @param serving number of groups recorded as serving with that version
 * @param forming number of groups that are forming
 * @param broken number of groups with a missing member
 * @param releasing number of groups that are being dissolved
 * @param otherVersion number of groups recorded as serving with another model or version
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
     * Returns whether the actual groups match the desired state.
     *
     * @return true if the desired number of groups serves and there are no other groups
     */
    public boolean converged() {
        return serving == desired && forming + broken + releasing + otherVersion == 0;
    }

    /**
     * Compares a release note with group assignments.
     *
     * @param note the accepted note
     * @param assignments assignments of all failure domains
     * @return one status for each model service and failure domain in the note or in an assignment
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
        boolean desired = spec instanceof ServiceSpec.ModelService model
                && model.failureDomains().contains(domain);
        int replicas = desired ? ((ServiceSpec.ModelService) spec).replicas() : 0;
        String version = desired ? ((ServiceSpec.ModelService) spec).version() : "";
        int current = (int) groups.stream()
                .filter(group -> group.state() == GroupState.SERVING && runsModelOf(group, spec))
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

    private static boolean runsModelOf(Group group, ServiceSpec spec) {
        return spec instanceof ServiceSpec.ModelService model
                && group.model().equals(model.model())
                && group.version().equals(model.version());
    }

    private static int count(List<Group> groups, GroupState state) {
        return (int) groups.stream().filter(group -> group.state() == state).count();
    }
}
