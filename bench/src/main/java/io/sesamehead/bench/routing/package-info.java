/** Benchmarks of routing. */
package io.sesamehead.bench.routing;
