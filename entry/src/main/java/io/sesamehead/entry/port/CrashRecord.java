package io.sesamehead.entry.port;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.dispatch.CrashReport;

/**
 * The requests that are refused because of their crashes, as the store keeps them.
 *
 * @param writtenAtEpochMillis time of day at the writer, to which the ages of the reports refer, in milliseconds
 * @param reports what is known of each request
 */
public record CrashRecord(long writtenAtEpochMillis, ImmutableList<CrashReport> reports) {}
