/** Which daemons are live, and which of them probe and relay. */
package io.sesamehead.coordination.membership;
