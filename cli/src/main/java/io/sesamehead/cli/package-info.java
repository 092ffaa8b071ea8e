/** The command line: one subcommand per class, read by JCommander. */
package io.sesamehead.cli;
