/** JMH benchmarks of the hot paths of core, started by {@code bin/bench --jmh}. */
package io.sesamehead.bench.hot;
