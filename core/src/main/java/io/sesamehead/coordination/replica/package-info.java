/** Groups of upstreams that serve one model together, planned from the reports of the upstreams. */
package io.sesamehead.coordination.replica;
