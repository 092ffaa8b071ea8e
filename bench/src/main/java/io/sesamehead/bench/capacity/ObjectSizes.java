package io.sesamehead.bench.capacity;

import io.sesamehead.daemon.protocol.AssignmentCodec;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.PeerMessages;
import io.sesamehead.daemon.protocol.ReleaseCodec;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.transport.Addresses;
import io.sesamehead.daemon.transport.EngineClient;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.WriteToken;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;

/** Sizes of the objects in the store, against its limit of 1 MB. */
final class ObjectSizes {
    private static final double LIMIT_BYTES = 1e6;
    private static final WriteToken TOKEN = new WriteToken(new Incarnation(42), 7);
    private static final int[] ENGINES = {8, 40, 77};
    private static final int[] SERVICES = {1, 10, 50};

    private static final int PROBES = 100;
    private static final int[] DAEMONS = {26, 130, 340};
    private static final int[] VMS = {77, 300, 1_000};

    private ObjectSizes() {}

    static void run() throws IOException, InterruptedException {
        for (int engines : ENGINES) {
            int bytes = assignmentBytes(engines);
            System.out.printf(
                    Locale.ROOT,
                    "assignment: %d engines, %d bytes, %.2f%% of the limit%n",
                    engines,
                    bytes,
                    100 * bytes / LIMIT_BYTES);
        }
        for (int services : SERVICES) {
            int bytes = releaseBytes(services);
            System.out.printf(
                    Locale.ROOT,
                    "release note: %d services, %d bytes, %.2f%% of the limit%n",
                    services,
                    bytes,
                    100 * bytes / LIMIT_BYTES);
        }
        messages();
        probe();
    }

    private static void probe() throws IOException, InterruptedException {
        try (StandIns standIns = StandIns.start(1);
                EngineClient client = new EngineClient(4, 1, Duration.ofMillis(500));
                ByteMeter meter = new ByteMeter(standIns.engineAddress(0))) {
            for (int probe = 0; probe < PROBES; probe++) {
                client.status(meter.address(), Duration.ofSeconds(2));
            }
            System.out.printf(
                    Locale.ROOT,
                    "probe: %.0f bytes of request, %.0f bytes of answer%n",
                    (double) meter.requestBytes() / PROBES,
                    (double) meter.answerBytes() / PROBES);
        }
    }

    private static void messages() throws IOException, InterruptedException {
        for (int daemons : DAEMONS) {
            int bytes = PeerMessages.directory(Shapes.daemons(daemons)).getSerializedSize();
            System.out.printf(Locale.ROOT, "directory update: %d daemons, %d bytes%n", daemons, bytes);
        }
        for (int vms : VMS) {
            try (StandIns standIns = StandIns.start(0)) {
                PlatformAdmin admin = new PlatformAdmin(Addresses.text(standIns.platform.address()));
                for (int vm = 0; vm < vms; vm++) {
                    admin.putNode(
                            Shapes.vmName(vm), Shapes.FIRST_DOMAIN, "fabric-" + vm / 8, "10.0.0.1:" + (9_000 + vm));
                }
                System.out.printf(Locale.ROOT, "VM list: %d VMs, %d bytes%n", vms, admin.nodeListBytes());
            }
        }
    }

    static int assignmentBytes(int engines) {
        return Json.bytes(AssignmentCodec.encode(Shapes.assignment(engines, 1), TOKEN)).length;
    }

    static int releaseBytes(int services) {
        ReleaseObject release = ReleaseObject.first(Shapes.note(2, services), TOKEN);
        for (int write = 1; write < ReleaseObject.MAX_WRITERS; write++) {
            release = release.next(release.note(), release.drained(), TOKEN);
        }
        return Json.bytes(ReleaseCodec.encode(release)).length;
    }
}
