package io.sesamehead.coordination.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against closing connections that callers may still reuse. */
final class IdlePeriodTest {
    @Test
    void expiresAfterItsLimit() {
        IdlePeriod period = new IdlePeriod(10_000, 1_000);

        assertThat(period.hasExpired(11_000)).isFalse();
        assertThat(period.hasExpired(11_001)).isTrue();
    }

    @Test
    void keepsItsLimitWhenConfigurationLowersIt() {
        IdlePeriod period = new IdlePeriod(10_000, 15_000);

        period.raiseLimit(1_000);

        assertThat(period.hasExpired(25_000)).isFalse();
        assertThat(period.hasExpired(25_001)).isTrue();
    }

    @Test
    void keepsHighestLimitOfItsDuration() {
        IdlePeriod period = new IdlePeriod(10_000, 1_000);

        period.raiseLimit(15_000);
        period.raiseLimit(500);

        assertThat(period.hasExpired(25_000)).isFalse();
    }

    @Test
    void comparesItsDurationRegardlessOfItsLimit() {
        IdlePeriod period = new IdlePeriod(10_000, 15_000);

        assertThat(period.isLongerThan(400, 10_400)).isFalse();
        assertThat(period.isLongerThan(400, 10_401)).isTrue();
    }
}
