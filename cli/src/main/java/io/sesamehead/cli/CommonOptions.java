package io.sesamehead.cli;

import com.beust.jcommander.Parameter;

/** Options of all subcommands. */
public final class CommonOptions {
    /** Whether to print the help text instead of running the command. */
    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Print this help")
    boolean help;
}
