package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.sesamehead.standin.service.ServiceSettings;
import io.sesamehead.standin.service.ServiceStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;

/** {@code stand-in service}: runs a plain service stand-in until the process is stopped. */
@Parameters(commandDescription = "Run a stand-in for a plain service, such as the one that takes orders")
public final class StandInServiceCommand implements Command {
    @Parameter(
            names = "--address",
            required = true,
            converter = AddressConverter.class,
            description = "Where to listen, ip:port; port 0 takes any free port")
    private InetSocketAddress address;

    @Parameter(names = "--asks-by-key", description = "Answer GET /keys/{key}")
    private boolean asksByKey;

    @Parameter(names = "--refuses-repeats", description = "Refuse a key that was seen before")
    private boolean refusesRepeats;

    @Parameter(names = "--call-millis", description = "Time of one execution")
    private long callMillis;

    @Override
    public ExitCode run(Console console) throws CommandException, InterruptedException {
        ServiceSettings settings =
                new ServiceSettings(address.getHostString(), address.getPort(), asksByKey, refusesRepeats, callMillis);
        try (ServiceStandIn service = new ServiceStandIn(settings)) {
            service.start();
            return StandInRunner.untilStopped("service", service.address(), console);
        } catch (IOException e) {
            throw StandInRunner.cannotListen(address, e);
        }
    }
}
