package io.sesamehead.coordination.group;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.ReleaseNote.PolicySettings;
import org.junit.jupiter.api.Test;

/** Guards against using another repair policy than the release note names. */
final class RepairPolicyTest {
    @Test
    void selectsPolicyByName() {
        assertThat(RepairPolicy.of(new PolicySettings(0.8, "fixed-timeout", 0)))
                .isInstanceOf(RepairPolicy.FixedTimeout.class);
        assertThat(RepairPolicy.of(new PolicySettings(0.8, "reload-proportional", 0)))
                .isInstanceOf(RepairPolicy.ReloadProportional.class);
    }
}
