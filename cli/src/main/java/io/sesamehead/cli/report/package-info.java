/** Service-level burn, computed from samples of the daemons' counters. */
package io.sesamehead.cli.report;
