/** The running daemon: tasks over the core tables and the flow of calls. */
package io.sesamehead.daemon.runtime;
