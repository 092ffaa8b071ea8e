/** Tracks which daemons are live, and assigns probing and relaying to them. */
package io.sesamehead.coordination.membership;
