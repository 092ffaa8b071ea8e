/** HTTP and UDP connections of an entry daemon, all on one event loop. */
package io.sesamehead.entry.transport;
