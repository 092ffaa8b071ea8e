package io.sesamehead.bench.capacity;

import io.sesamehead.daemon.transport.Addresses;
import io.sesamehead.standin.engine.EngineSettings;
import io.sesamehead.standin.engine.EngineStandIn;
import io.sesamehead.standin.platform.PlatformSettings;
import io.sesamehead.standin.platform.PlatformStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A platform stand-in and engine stand-ins of one failure domain in this process. */
final class StandIns implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    /** As many VMs as one replica spans at most. */
    private static final int VMS_PER_FABRIC_DOMAIN = 8;

    final PlatformStandIn platform = new PlatformStandIn(PlatformSettings.at(HOST, 0));
    private final List<EngineStandIn> engines = new ArrayList<>();

    private StandIns() {}

    static StandIns start(int engineCount) throws IOException, InterruptedException {
        StandIns result = new StandIns();
        result.platform.start();
        PlatformAdmin admin = new PlatformAdmin(Addresses.text(result.platform.address()));
        for (int number = 0; number < engineCount; number++) {
            String vm = Shapes.vmName(number);
            EngineStandIn engine = new EngineStandIn(EngineSettings.at(HOST, 0, vm));
            engine.start();
            result.engines.add(engine);
            admin.putNode(
                    vm,
                    Shapes.FIRST_DOMAIN,
                    "fabric-" + number / VMS_PER_FABRIC_DOMAIN,
                    Addresses.text(engine.address()));
        }
        return result;
    }

    /** Runs until the process is ended. */
    static void run(int engineCount) throws IOException, InterruptedException {
        try (StandIns standIns = start(engineCount)) {
            System.out.println("platform " + Addresses.text(standIns.platform.address()));
            Thread.currentThread().join();
        }
    }

    InetSocketAddress engineAddress(int number) {
        return engines.get(number).address();
    }

    @Override
    public void close() {
        engines.forEach(EngineStandIn::close);
        platform.close();
    }
}
