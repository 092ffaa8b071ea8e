/** Randomized simulations that check the invariants of groups, lease, leaving upstreams and configuration. */
package io.sesamehead.proof.fleet;
