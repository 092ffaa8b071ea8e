/** Value types of the system: ids, the contents of platform objects, and what probers and callers report. */
package io.sesamehead.state;
