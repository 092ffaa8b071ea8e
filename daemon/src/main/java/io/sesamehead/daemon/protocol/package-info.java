/** Messages on the wire and their mapping to the core types. */
package io.sesamehead.daemon.protocol;
