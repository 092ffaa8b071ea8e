package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.sesamehead.standin.platform.PlatformSettings;
import io.sesamehead.standin.platform.PlatformStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;

/** {@code stand-in platform}: runs the platform stand-in until the process is stopped. */
@Parameters(commandDescription = "Run a stand-in for the platform's object API and VM list")
public final class StandInPlatformCommand implements Command {
    @Parameter(
            names = "--address",
            required = true,
            converter = AddressConverter.class,
            description = "Where to listen, ip:port; port 0 takes any free port")
    private InetSocketAddress address;

    @Parameter(names = "--calls-per-second", description = "Rate limit of the object API; 0 for none")
    private int callsPerSecond;

    @Parameter(names = "--node-lag-millis", description = "Time until a change of the VM list becomes visible")
    private long nodeLagMillis;

    @Override
    public ExitCode run(Console console) throws CommandException, InterruptedException {
        PlatformSettings plain = PlatformSettings.at(address.getHostString(), address.getPort());
        PlatformSettings settings =
                new PlatformSettings(plain.host(), plain.port(), callsPerSecond, plain.watchHistory(), nodeLagMillis);
        try (PlatformStandIn platform = new PlatformStandIn(settings)) {
            platform.start();
            return StandInRunner.untilStopped("platform", platform.address(), console);
        } catch (IOException e) {
            throw StandInRunner.cannotListen(address, e);
        }
    }
}
