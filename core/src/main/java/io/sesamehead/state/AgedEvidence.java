package io.sesamehead.state;

import java.util.Optional;

/**
 * Evidence as sent between daemons, with an age instead of a timestamp of the sender's clock.
 *
 * @param vm the VM
 * @param report the report of its engine, or empty if the engine did not answer
 * @param ageMillis age of the observation at the time of sending, in milliseconds
 */
public record AgedEvidence(VmId vm, Optional<MemberReport> report, long ageMillis) {}
