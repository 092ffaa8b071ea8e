/** The daemon process: startup and shutdown, control tasks on the core tables, and call handling. */
package io.sesamehead.daemon.runtime;
