package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.standin.engine.EngineSettings;
import io.sesamehead.standin.engine.EngineStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.apache.hc.client5.http.classic.methods.HttpPut;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.StringEntity;

/** {@code stand-in engine}: runs one engine stand-in until the process is stopped. */
@Parameters(commandDescription = "Run a stand-in for the model engine of one VM")
public final class StandInEngineCommand implements Command {
    @Parameter(
            names = "--address",
            required = true,
            converter = AddressConverter.class,
            description = "Where to listen, ip:port; port 0 takes any free port")
    private InetSocketAddress address;

    @Parameter(names = "--vm", required = true, description = "Name of the VM that the engine runs on")
    private String vm;

    @Parameter(names = "--checks-fencing", description = "Refuse orders with an epoch below the highest seen")
    private boolean checksFencing;

    @Parameter(names = "--load-millis", description = "Time of one model load")
    private long loadMillis = 200;

    @Parameter(names = "--token-millis", description = "Time between two tokens")
    private long tokenMillis = 5;

    @Parameter(names = "--platform", description = "Platform stand-in to enter the VM in; none by default")
    private String platform = "";

    @Parameter(names = "--failure-domain", description = "Failure domain entered in the platform stand-in")
    private String failureDomain = "";

    @Parameter(names = "--fabric-domain", description = "Fabric domain entered in the platform stand-in")
    private String fabricDomain = "";

    @Parameter(names = "--accelerators", description = "Accelerators entered in the platform stand-in")
    private int accelerators = 1;

    @Parameter(names = "--accelerator-memory-gb", description = "Accelerator memory entered in the platform stand-in")
    private int acceleratorMemoryGb = 80;

    @Override
    public ExitCode run(Console console) throws CommandException, InterruptedException {
        EngineSettings settings = EngineSettings.at(address.getHostString(), address.getPort(), vm)
                .withFencing(checksFencing)
                .withLatencies(loadMillis, tokenMillis)
                .withExitOnCrash();
        try (EngineStandIn engine = new EngineStandIn(settings)) {
            engine.start();
            if (!platform.isEmpty()) {
                register(engine.address());
            }
            return StandInRunner.untilStopped("engine", engine.address(), console);
        } catch (IOException e) {
            throw StandInRunner.cannotListen(address, e);
        }
    }

    private void register(InetSocketAddress bound) throws CommandException {
        ObjectNode node = new ObjectMapper().createObjectNode();
        node.put("failureDomain", failureDomain);
        node.put("fabricDomain", fabricDomain);
        node.put("accelerators", Integer.toString(accelerators));
        node.put("acceleratorMemoryGb", Integer.toString(acceleratorMemoryGb));
        node.put("engineAddress", bound.getHostString() + ":" + bound.getPort());
        HttpPut put = new HttpPut("http://" + platform + "/admin/nodes/" + vm);
        put.setEntity(new StringEntity(node.toString(), ContentType.APPLICATION_JSON));
        try (CloseableHttpClient http = HttpClients.createDefault()) {
            int status = http.execute(put, response -> response.getCode());
            if (status != 200) {
                throw new CommandException(ExitCode.FAILED, "platform stand-in answered with status " + status);
            }
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.FAILED, "platform stand-in " + platform + " does not answer: " + e.getMessage());
        }
    }
}
