/** Leaving upstreams and the shutdown of a daemon. */
package io.sesamehead.coordination.drain;
