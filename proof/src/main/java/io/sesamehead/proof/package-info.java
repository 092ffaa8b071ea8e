/**
 * Randomized simulations that check the invariants of the system. They run the production classes of the core module
 * against fakes of the object API, the network, upstreams and clocks. A run is fully determined by its seed.
 */
package io.sesamehead.proof;
