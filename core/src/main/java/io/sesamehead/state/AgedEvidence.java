package io.sesamehead.state;

import java.util.Optional;

/**
 * Evidence as it travels between daemons, with an age in place of a time of the sender's clock.
 *
 * @param vm the VM
 * @param report what its engine reported, or empty when it did not answer
 * @param ageMillis age of the observation when it was sent, in milliseconds
 */
public record AgedEvidence(VmId vm, Optional<MemberReport> report, long ageMillis) {}
