/**
 * Randomised checks of the system's invariants over the real classes of core, with small fakes for the object API,
 * the network, upstreams and clocks. One seed decides a whole run.
 */
package io.sesamehead.proof;
