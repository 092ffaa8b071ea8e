/** Wire messages and stored objects, and their conversion to and from the core types. */
package io.sesamehead.daemon.protocol;
