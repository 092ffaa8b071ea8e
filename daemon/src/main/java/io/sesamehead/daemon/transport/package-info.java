/** Connections to the platform, the upstreams, the callers and the peers. */
package io.sesamehead.daemon.transport;
