/** Life of a request: attempts, outcome, stream positions, retries, and requests that crash upstreams. */
package io.sesamehead.coordination.request;
