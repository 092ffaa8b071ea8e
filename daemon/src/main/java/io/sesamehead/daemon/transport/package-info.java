/** Connections to the platform, to upstreams, to callers and to peer daemons. */
package io.sesamehead.daemon.transport;
