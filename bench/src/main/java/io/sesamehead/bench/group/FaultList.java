package io.sesamehead.bench.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws the events of a run: failures and restarts at the daily rates of the design page, pauses, one VM that flaps and
 * one dark fabric domain.
 */
final class FaultList {
    /** Length of a run, in milliseconds; a rack or switch fails every month or two, so each run has one. */
    static final long RUN_MILLIS = 30L * 86_400_000;

    private static final double FAILURES_PER_VM_DAY = 0.018;
    private static final double RESTARTS_PER_VM_DAY = 0.410;

    /** The page gives no rate of pauses; one for four restarts is assumed. */
    private static final double PAUSES_PER_VM_DAY = 0.100;

    private static final long DAY_MILLIS = 86_400_000;
    private static final long SECOND_MILLIS = 1_000;
    private static final long MINUTE_MILLIS = 60_000;
    private static final long REPLACEMENT_MILLIS = 2 * 60 * MINUTE_MILLIS;
    private static final int FLAPS = 20;
    private static final long FLAP_INTERVAL_MILLIS = 20 * MINUTE_MILLIS;

    private final SplittableRandom random;
    private final List<Fault> faults = new ArrayList<>();

    private FaultList(long seed) {
        random = new SplittableRandom(seed);
    }

    static List<Fault> draw(long seed, int vms) {
        FaultList list = new FaultList(seed);
        list.poisson(Fault.Kind.VM_FAILURE, vms * FAILURES_PER_VM_DAY);
        list.poisson(Fault.Kind.RESTART, vms * RESTARTS_PER_VM_DAY);
        list.poisson(Fault.Kind.PAUSE, vms * PAUSES_PER_VM_DAY);
        list.flap();
        list.faults.add(new Fault(
                list.random.nextLong(RUN_MILLIS), Fault.Kind.DARK_FABRIC_DOMAIN, list.victim(), 60 * MINUTE_MILLIS));
        list.faults.sort(Comparator.comparingLong(Fault::atMillis));
        return list.faults;
    }

    private void poisson(Fault.Kind kind, double perDay) {
        double at = 0;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / perDay * DAY_MILLIS;
            if (at >= RUN_MILLIS) {
                return;
            }
            faults.add(new Fault((long) at, kind, victim(), outageMillis(kind)));
        }
    }

    private void flap() {
        long start = random.nextLong(RUN_MILLIS);
        int victim = victim();
        for (int i = 0; i < FLAPS; i++) {
            long at = start + i * FLAP_INTERVAL_MILLIS;
            faults.add(new Fault(at, Fault.Kind.RESTART, victim, outageMillis(Fault.Kind.RESTART)));
        }
    }

    private long outageMillis(Fault.Kind kind) {
        return switch (kind) {
            case VM_FAILURE -> REPLACEMENT_MILLIS;
            case RESTART -> logUniform(10 * SECOND_MILLIS, 10 * MINUTE_MILLIS);
            case PAUSE -> logUniform(2 * SECOND_MILLIS, 20 * MINUTE_MILLIS);
            case DARK_FABRIC_DOMAIN -> 60 * MINUTE_MILLIS;
        };
    }

    private long logUniform(long from, long to) {
        return (long) (from * Math.exp(random.nextDouble() * Math.log((double) to / from)));
    }

    private int victim() {
        return random.nextInt(1 << 20);
    }
}
