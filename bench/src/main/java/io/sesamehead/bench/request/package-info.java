/** Benchmarks of retries and of requests that crash upstreams. */
package io.sesamehead.bench.request;
