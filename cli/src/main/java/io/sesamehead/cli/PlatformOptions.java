package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.PlatformClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Options of commands that access the platform. */
final class PlatformOptions {
    /** Environment variable with the address of the platform, used if the option is missing. */
    static final String ENVIRONMENT = "SESAMEHEAD_PLATFORM";

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int CALLS_PER_SECOND = 20;

    @Parameter(
            names = "--platform",
            converter = AddressConverter.class,
            description = "Address of the platform's object API, ip:port; default: environment " + ENVIRONMENT)
    private InetSocketAddress address;

    boolean isSet() {
        return address != null || System.getenv(ENVIRONMENT) != null;
    }

    PlatformClient open() throws CommandException {
        InetSocketAddress resolved = address;
        String fromEnvironment = System.getenv(ENVIRONMENT);
        if (resolved == null && fromEnvironment != null) {
            resolved = AddressConverter.parse(fromEnvironment);
        }
        if (resolved == null) {
            throw new CommandException(
                    ExitCode.WRONG_USAGE, "the platform's address is missing; give --platform or set " + ENVIRONMENT);
        }
        return new PlatformClient(
                new DaemonSettings.Platform(resolved, CALL_TIMEOUT, CALLS_PER_SECOND), PlatformOptions::nowMillis);
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
