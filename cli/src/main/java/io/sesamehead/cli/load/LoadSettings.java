package io.sesamehead.cli.load;

import com.google.common.collect.ImmutableList;

/**
 * Bounds and mix of one load run.
 *
 * @param daemons caller addresses, {@code ip:port}
 * @param accounts client accounts that take turns
 * @param modelService model service to call; empty for none
 * @param orderService plain service to call; empty for none
 * @param seconds length of the run
 * @param callsPerSecond mean arrival rate
 * @param maxCalls most calls sent in the run
 * @param concurrentCalls most calls open at one time; arrivals above it are skipped and counted
 * @param orderShare share of orders among the calls, 0 to 1
 * @param repeatShare share of orders that repeat an earlier key, 0 to 1
 * @param streamShare share of completions that are streamed, 0 to 1
 * @param tokens most tokens of a completion
 * @param deadlineMillis time that a caller allows for a call with all its attempts
 * @param stallMillis silence after which a caller gives up on a daemon
 * @param attempts most attempts of a call
 * @param seed seed of arrival times and mix
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
