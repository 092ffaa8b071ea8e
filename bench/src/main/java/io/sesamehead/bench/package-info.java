/** Benchmarks of decisions in virtual time, each against its baselines in the same run. */
package io.sesamehead.bench;
