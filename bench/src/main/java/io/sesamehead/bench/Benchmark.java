package io.sesamehead.bench;

import java.util.List;

/** Benchmark of one decision against its baselines. */
public interface Benchmark {
    /**
     * Returns the name by which the command line selects it.
     *
     * @return the name
     */
    String name();

    /**
     * Runs it in virtual time.
     *
     * @param seeds the seeds
     * @return the lines of the table
     */
    List<Row> run(Seeds seeds);
}
