/** The runtime of an entry daemon. Its state is confined to one event loop, so that none of it needs a lock. */
package io.sesamehead.entry.runtime;
