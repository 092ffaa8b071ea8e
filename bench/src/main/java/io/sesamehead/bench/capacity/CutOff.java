package io.sesamehead.bench.capacity;

import io.sesamehead.daemon.transport.Addresses;
import java.util.Locale;

/** Time in which a new generation reaches a failure domain that does not reach the platform. */
final class CutOff {
    private static final int[] DAEMONS = {2, 4, 8};
    private static final int GENERATIONS = 8;
    private static final double BUDGET_MILLIS = 16_000;

    private CutOff() {}

    static void run() throws Exception {
        for (int daemons : DAEMONS) {
            try (StandIns standIns = StandIns.start(0);
                    Fleet fleet = new Fleet(Addresses.text(standIns.platform.address()))) {
                fleet.accept(Shapes.note(2, 1));
                fleet.start(Shapes.FIRST_DOMAIN, 3);
                fleet.startCutOff("domain-2", daemons);
                fleet.awaitGeneration(1);
                double longest = 0;
                for (int round = 0; round < GENERATIONS; round++) {
                    long startNanos = System.nanoTime();
                    fleet.awaitGeneration(fleet.acceptNext());
                    longest = Math.max(longest, (System.nanoTime() - startNanos) / 1e6);
                }
                System.out.printf(
                        Locale.ROOT,
                        "cut off: %d daemons, %d generations, longest %.0f ms, %.1f%% of the budget%n",
                        daemons,
                        GENERATIONS,
                        longest,
                        100 * longest / BUDGET_MILLIS);
            }
        }
    }
}
