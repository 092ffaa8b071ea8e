/** Routing of attempts to upstreams, and ejection of upstreams that are slower than their peers. */
package io.sesamehead.coordination.routing;
