/** Finds one request's story in the logs of entry daemons. */
package io.sesamehead.cli.explain;
