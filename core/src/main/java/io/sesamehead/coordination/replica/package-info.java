/** Groups of upstreams that serve one model together, planned from what the upstreams themselves report. */
package io.sesamehead.coordination.replica;
