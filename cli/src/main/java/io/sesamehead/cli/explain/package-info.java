/** Explains the outcome of a request from the logs of entry daemons. */
package io.sesamehead.cli.explain;
