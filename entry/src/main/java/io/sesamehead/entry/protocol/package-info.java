/** Messages between the daemons and the parts of answers that the daemon looks into. */
package io.sesamehead.entry.protocol;
