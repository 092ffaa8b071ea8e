package io.sesamehead.coordination.group;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.ReleaseNote.PolicySettings;
import org.junit.jupiter.api.Test;

/** Guards against a release note whose repair policy is not the one in use. */
final class RepairPolicyTest {
    @Test
    void selectsPolicyByName() {
        assertThat(RepairPolicy.of(new PolicySettings(0.8, "fixed-timeout", 0)))
                .isInstanceOf(RepairPolicy.FixedTimeout.class);
        assertThat(RepairPolicy.of(new PolicySettings(0.8, "reload-proportional", 0)))
                .isInstanceOf(RepairPolicy.ReloadProportional.class);
    }
}
