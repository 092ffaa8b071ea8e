/** Failure domains to whose upstreams the operators ask that nothing more is sent. */
package io.sesamehead.coordination.evacuation;
