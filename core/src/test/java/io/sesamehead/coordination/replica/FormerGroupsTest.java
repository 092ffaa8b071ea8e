package io.sesamehead.coordination.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.InstanceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against using members of a group whose head has returned to it and may serve. */
final class FormerGroupsTest {
    private static final long STALL_MILLIS = 4_000;

    private final FakeEngines engines = new FakeEngines();
    private final FormerGroups former = new FormerGroups();
    private Replica group;

    @BeforeEach
    void formGroups() {
        engines.addDomains(1, 9);
        engines.run(new FleetPlanner(1, STALL_MILLIS), 15_000);
        group = engines.serving(FakeEngines.SMALL).get(0);
        group.members().forEach(member -> former.observe(member, 0));
        group.members().forEach(member -> former.observe(engines.withoutGroup(member.id()), 1_000));
    }

    private FormerGroups.FormerGroup groupOfLastMember() {
        InstanceId last = group.members().get(2).id();
        return former.formerGroup(engines.withoutGroup(last)).orElseThrow();
    }

    @Test
    void headThatLeftHasStopped() {
        assertThat(groupOfLastMember().headLeft()).isTrue();
    }

    @Test
    void headThatReturnedDetectsTheLossFromThenOn() {
        former.observe(group.members().get(0), 2_000);

        assertThat(groupOfLastMember().headLeft()).isFalse();
        assertThat(groupOfLastMember().firstLossAtMillis()).isEqualTo(2_000);
    }
}
