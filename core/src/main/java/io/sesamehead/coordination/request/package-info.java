/** Lifecycle of requests: attempts, outcomes, stream positions, retries, and requests that crash upstreams. */
package io.sesamehead.coordination.request;
