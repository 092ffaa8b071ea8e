/** Codecs for messages between daemons, and parsing of the response bodies that the daemon inspects. */
package io.sesamehead.entry.protocol;
