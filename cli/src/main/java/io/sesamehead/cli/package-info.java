/** Command line interface: one class per subcommand, with options parsed by JCommander. */
package io.sesamehead.cli;
