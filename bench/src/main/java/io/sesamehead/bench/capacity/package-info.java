/** Measures what the roles of a daemon cost at several sizes; docs/CAPACITY.md holds the figures. */
package io.sesamehead.bench.capacity;
