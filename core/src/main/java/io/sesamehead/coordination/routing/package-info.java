/** Choice of an upstream for a call, and ejection of upstreams that are slower than their peers. */
package io.sesamehead.coordination.routing;
