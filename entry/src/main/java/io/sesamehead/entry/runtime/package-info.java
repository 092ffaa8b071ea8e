/** The parts of a running entry daemon. All tables belong to its one event loop, so none of them needs a lock. */
package io.sesamehead.entry.runtime;
