package io.sesamehead.coordination.group;

import io.sesamehead.state.EngineState;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.VmId;
import java.util.Optional;
import java.util.function.Function;

/**
 * Decides whether a group may serve. Requires fresh evidence that every member is ready and reports the group, epoch
 * and engine incarnation of the assignment.
 */
public final class ServeGate {
    private ServeGate() {}

    /**
     * Decides whether a group may serve.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param group the group as recorded in the assignment
     * @param evidence looks up the latest evidence about a VM
     * @param maxAgeMillis maximum age of fresh evidence, in milliseconds
     * @return the decision, with the first member that caused a refusal
     */
    public static ServeDecision decide(
            long nowMillis, Group group, Function<VmId, Optional<Evidence>> evidence, long maxAgeMillis) {
        if (group.state() != GroupState.SERVING) {
            return new ServeDecision.Refuse(ServeDecision.Reason.NOT_SERVING, Optional.empty());
        }
        return decideMembers(nowMillis, group, evidence, maxAgeMillis);
    }

    /** Checks only the members, regardless of the recorded state of the group. */
    static ServeDecision decideMembers(
            long nowMillis, Group group, Function<VmId, Optional<Evidence>> evidence, long maxAgeMillis) {
        for (Group.Member member : group.members()) {
            Optional<ServeDecision.Reason> fault =
                    fault(nowMillis, group, member, evidence.apply(member.vm()), maxAgeMillis);
            if (fault.isPresent()) {
                return new ServeDecision.Refuse(fault.get(), Optional.of(member.vm()));
            }
        }
        return new ServeDecision.Serve();
    }

    static Optional<ServeDecision.Reason> fault(
            long nowMillis, Group group, Group.Member member, Optional<Evidence> evidence, long maxAgeMillis) {
        if (evidence.isEmpty()) {
            return Optional.of(ServeDecision.Reason.NO_EVIDENCE);
        }
        if (nowMillis - evidence.get().observedAtMillis() > maxAgeMillis) {
            return Optional.of(ServeDecision.Reason.STALE_EVIDENCE);
        }
        return switch (evidence.get()) {
            case Evidence.Unreachable unreachable -> Optional.of(ServeDecision.Reason.UNREACHABLE);
            case Evidence.Reported reported -> reportFault(group, member, reported.report());
        };
    }

    private static Optional<ServeDecision.Reason> reportFault(Group group, Group.Member member, MemberReport report) {
        if (!Optional.of(report.engine()).equals(member.engine())) {
            return Optional.of(ServeDecision.Reason.OTHER_INCARNATION);
        }
        if (!Optional.of(group.id()).equals(report.group())) {
            return Optional.of(ServeDecision.Reason.OTHER_GROUP);
        }
        if (!group.epoch().equals(report.epoch())) {
            return Optional.of(ServeDecision.Reason.OTHER_EPOCH);
        }
        if (report.state() == EngineState.LEAVING) {
            return Optional.of(ServeDecision.Reason.LEAVING);
        }
        return report.state() == EngineState.READY ? Optional.empty() : Optional.of(ServeDecision.Reason.NOT_READY);
    }
}
