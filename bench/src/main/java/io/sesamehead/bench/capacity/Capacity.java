package io.sesamehead.bench.capacity;

import java.util.Arrays;
import java.util.List;

/** Runs one measurement; the script {@code bin/capacity} names it. */
public final class Capacity {
    private Capacity() {}

    /**
     * Runs a measurement and prints its figures.
     *
     * @param arguments name of the measurement and its arguments
     * @throws Exception if the measurement fails
     */
    public static void main(String[] arguments) throws Exception {
        if (arguments.length == 0) {
            throw new IllegalArgumentException("expected: stand-ins, fleet, tables, steps, objects, cut-off or keyed");
        }
        List<String> rest = Arrays.asList(arguments).subList(1, arguments.length);
        switch (arguments[0]) {
            case "stand-ins" -> StandIns.run(Integer.parseInt(rest.get(0)));
            case "fleet" ->
                FleetSlopes.run(
                        rest.get(0),
                        Integer.parseInt(rest.get(1)),
                        Integer.parseInt(rest.get(2)),
                        Integer.parseInt(rest.get(3)),
                        Integer.parseInt(rest.get(4)));
            case "tables" -> TableSizes.run();
            case "steps" -> StepCosts.run();
            case "objects" -> ObjectSizes.run();
            case "cut-off" -> CutOff.run();
            case "keyed" -> KeyedCalls.run();
            default -> throw new IllegalArgumentException("unknown measurement " + arguments[0]);
        }
    }
}
