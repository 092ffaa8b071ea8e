/** Open-loop load generator with a bounded load that verifies and classifies each answer. */
package io.sesamehead.cli.load;
