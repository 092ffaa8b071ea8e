/**
 * Randomized checks of the invariants about calls: own-answer, not-run, at-most-once and graceful-stop. Simulated
 * daemons that use the production classes of the core module serve callers with fake upstreams, a fake network and a
 * fake object API.
 */
package io.sesamehead.proof.calls;
