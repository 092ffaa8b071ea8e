/** Benchmarks of the group controller: repair or wait, spares, packing and VMs that flap. */
package io.sesamehead.bench.group;
