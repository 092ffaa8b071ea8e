package io.sesamehead.entry.port;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.dispatch.CrashReport;

/**
 * The stored list of requests that are refused because they crashed upstreams.
 *
 * @param writtenAtEpochMillis the writer's wall clock in milliseconds since the epoch; ages in the reports are relative to it
 * @param reports crash report of each request
 */
public record CrashRecord(long writtenAtEpochMillis, ImmutableList<CrashReport> reports) {}
