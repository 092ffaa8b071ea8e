/**
 * Randomised checks of the invariants about calls: own-answer, not-run, at-most-once and graceful-stop. Daemons made of
 * the real classes of core serve callers through fake upstreams, network and object API.
 */
package io.sesamehead.proof.calls;
