package io.sesamehead.cli.load;

import com.google.common.collect.ImmutableList;

/**
 * Limits and mix of a load run.
 *
 * @param daemons daemon addresses for clients, {@code ip:port}
 * @param accounts client accounts, one of which is drawn for each call
 * @param modelService model service to call; empty for none
 * @param orderService plain service to call; empty for none
 * @param seconds duration of the run in seconds
 * @param callsPerSecond mean arrival rate in calls per second
 * @param maxCalls maximum number of calls of the run
 * @param concurrentCalls maximum number of concurrent calls; arrivals beyond it are skipped and counted
 * @param orderShare fraction of orders among the calls, 0 to 1
 * @param repeatShare fraction of orders that repeat an earlier key, 0 to 1
 * @param streamShare fraction of completions that are streamed, 0 to 1
 * @param tokens maximum number of tokens of a completion
 * @param deadlineMillis time limit of a call including all attempts, in milliseconds
 * @param stallMillis read timeout of an attempt, in milliseconds
 * @param attempts maximum number of attempts of a call
 * @param seed seed of the arrival times and the mix
 */
public record LoadSettings(
        ImmutableList<String> daemons,
        ImmutableList<String> accounts,
        String modelService,
        String orderService,
        int seconds,
        double callsPerSecond,
        int maxCalls,
        int concurrentCalls,
        double orderShare,
        double repeatShare,
        double streamShare,
        int tokens,
        long deadlineMillis,
        long stallMillis,
        int attempts,
        long seed) {}
