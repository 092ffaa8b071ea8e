/** Upstreams that are leaving, and a daemon that stops. */
package io.sesamehead.coordination.drain;
