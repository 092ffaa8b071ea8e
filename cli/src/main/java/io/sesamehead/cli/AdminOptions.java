package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** Options of commands that read the daemons' admin ports. */
final class AdminOptions {
    /** Environment variable that names the admin ports when the option is not given. */
    static final String ENVIRONMENT = "SESAMEHEAD_ADMIN";

    @Parameter(
            names = "--admin",
            description =
                    "Admin addresses of the daemons, ip:port, separated by commas; default: environment " + ENVIRONMENT)
    private List<String> addresses;

    ImmutableList<String> addresses() throws CommandException {
        List<String> chosen = addresses;
        String fromEnvironment = System.getenv(ENVIRONMENT);
        if (chosen == null && fromEnvironment != null) {
            chosen = Splitter.on(',').omitEmptyStrings().trimResults().splitToList(fromEnvironment);
        }
        if (chosen == null || chosen.isEmpty()) {
            throw new CommandException(
                    ExitCode.WRONG_USAGE,
                    "the daemons' admin addresses are missing; give --admin or set " + ENVIRONMENT);
        }
        chosen.forEach(AddressConverter::parse);
        return ImmutableList.copyOf(chosen);
    }
}
