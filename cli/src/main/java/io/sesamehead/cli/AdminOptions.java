package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** Options of commands that read the admin ports of daemons. */
final class AdminOptions {
    /** Environment variable with the admin addresses, used if the option is missing. */
    static final String ENVIRONMENT = "SESAMEHEAD_ADMIN";

    @Parameter(
            names = "--admin",
            description =
                    "Admin addresses of the daemons, ip:port, separated by commas; default: environment " + ENVIRONMENT)
    private List<String> addresses;

    ImmutableList<String> addresses() throws CommandException {
        List<String> resolved = addresses;
        String fromEnvironment = System.getenv(ENVIRONMENT);
        if (resolved == null && fromEnvironment != null) {
            resolved = Splitter.on(',').omitEmptyStrings().trimResults().splitToList(fromEnvironment);
        }
        if (resolved == null || resolved.isEmpty()) {
            throw new CommandException(
                    ExitCode.WRONG_USAGE,
                    "the daemons' admin addresses are missing; give --admin or set " + ENVIRONMENT);
        }
        resolved.forEach(AddressConverter::parse);
        return ImmutableList.copyOf(resolved);
    }
}
