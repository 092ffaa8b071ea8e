/** Computes and renders error budget burn from samples of the daemons' counters. */
package io.sesamehead.cli.report;
