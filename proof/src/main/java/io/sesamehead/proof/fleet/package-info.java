/** Randomised checks of the invariants that concern groups, the lease, leaving upstreams and the configuration. */
package io.sesamehead.proof.fleet;
