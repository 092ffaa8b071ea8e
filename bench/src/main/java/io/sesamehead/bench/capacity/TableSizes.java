package io.sesamehead.bench.capacity;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.membership.DaemonDirectory;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.coordination.request.InFlightTable;
import io.sesamehead.state.AgedEvidence;
import io.sesamehead.state.AssignmentTable;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.EvidenceTable;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.VmId;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/** Heap of the tables by number of entries: the difference after a collection, over many copies of the table. */
final class TableSizes {
    private static final int[] ENGINES = {8, 32, 77};
    private static final int[] DAEMONS = {24, 120, 340};
    private static final int[] CALLS = {10, 50, 200};
    private static final int COPIES = 1_000;

    private TableSizes() {}

    static void run() {
        print("EvidenceTable, two probers", ENGINES, TableSizes::evidence);
        print("AssignmentTable", ENGINES, TableSizes::assignments);
        print("DaemonDirectory", DAEMONS, TableSizes::directory);
        print("InFlightTable, keyed calls", CALLS, TableSizes::calls);
    }

    private static void print(String name, int[] sizes, IntFunction<Object> build) {
        for (int size : sizes) {
            long bytes = bytes(size, build);
            System.out.printf(
                    Locale.ROOT,
                    "%-28s %4d entries %8d bytes, %6.0f an entry%n",
                    name,
                    size,
                    bytes,
                    (double) bytes / size);
        }
    }

    private static long bytes(int size, IntFunction<Object> build) {
        // Loads classes and compiles the code, which would count as heap of the table.
        List<Object> warmUp = copies(size, build);
        warmUp.clear();
        long before = used();
        List<Object> copies = copies(size, build);
        long after = used();
        return (after - before) / copies.size();
    }

    private static List<Object> copies(int size, IntFunction<Object> build) {
        List<Object> copies = new ArrayList<>(COPIES);
        for (int copy = 0; copy < COPIES; copy++) {
            copies.add(build.apply(size));
        }
        return copies;
    }

    private static long used() {
        System.gc();
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** One report of this daemon's probe and one of a peer for each VM. */
    private static Object evidence(int engines) {
        EvidenceTable table = new EvidenceTable();
        for (int vm = 0; vm < engines; vm++) {
            table.record(Shapes.evidence(vm, 1_000));
            AgedEvidence received = new AgedEvidence(new VmId(Shapes.vmName(vm)), Optional.of(Shapes.report(vm)), 10);
            table.merge(1_000, new DaemonId("peer-" + vm % 26), ImmutableSet.of(received));
        }
        return table;
    }

    private static Object assignments(int engines) {
        AssignmentTable table = new AssignmentTable();
        table.offer(Shapes.assignment(engines, 1));
        return table;
    }

    private static Object directory(int daemons) {
        DaemonDirectory directory = new DaemonDirectory(Shapes.daemon(0), 3_000, 12_000);
        IntStream.range(1, daemons).forEach(number -> directory.recordMessage(1_000, Shapes.daemon(number)));
        return directory;
    }

    private static Object calls(int count) {
        InFlightTable table = new InFlightTable();
        for (int number = 0; number < count; number++) {
            byte[] body = ("body " + number).getBytes(StandardCharsets.UTF_8);
            Fingerprint fingerprint = Fingerprint.of("POST", "orders/batch", body);
            table.open(new InFlightTable.OpenCall(
                    new RequestId("9f0a2f0e-0000-4000-8000-" + (100_000_000_000L + number)),
                    new ClientAccount("shop-" + number % 10),
                    new ServiceName("orders"),
                    Optional.of("orders." + fingerprint.value()),
                    fingerprint,
                    1_000));
        }
        return table;
    }
}
