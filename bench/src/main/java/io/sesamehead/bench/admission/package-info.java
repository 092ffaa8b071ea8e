/** Benchmarks of admission: fair shares, overload and come-back times. */
package io.sesamehead.bench.admission;
