package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Request rates that upstreams accept from all daemons together, as their responses state them. A limit is in force
 * while the latest response of that incarnation states it, whichever daemon received the response. Times are those of a
 * clock that also counts a suspension of the VM. Not thread-safe: confined to the event loop.
 */
public final class StatedRateLimits {
    /**
     * Time for which the end of a limit is reported, in milliseconds: many reports, so that a lost one does no harm.
     */
    private static final long REPORT_ENDED_MILLIS = 5_000;
    /**
     * Time for which the end of a limit is kept, in milliseconds: longer than a daemon that was suspended reports a
     * limit from before.
     */
    private static final long KEEP_ENDED_MILLIS = 60_000;
    /** Maximum number of upstreams in a report, which bounds its size. */
    private static final int MAX_REPORTED = 64;
    /** Maximum number of upstreams kept. The system is designed for 1,000 engines. */
    private static final int MAX_UPSTREAMS = 1_024;

    private final Map<UpstreamIncarnation, Statement> statements = new HashMap<>();

    /** The limit, empty if it has ended, and the time of the response that stated so. */
    private record Statement(OptionalDouble perSecond, long atMillis) {}

    /**
     * The latest statement about the limit of an upstream.
     *
     * @param upstream the upstream
     * @param perSecond requests per second, empty if its limit has ended
     * @param ageMillis time since the response that stated it, in milliseconds
     */
    public record Report(UpstreamIncarnation upstream, OptionalDouble perSecond, long ageMillis) {}

    /**
     * Records what a response states.
     *
     * @param upstream the upstream that sent it
     * @param stated what it states; an unreadable limit changes nothing
     * @param nowMillis current time, in milliseconds
     * @return whether the limit has begun, changed or ended
     */
    public boolean record(UpstreamIncarnation upstream, StatedRateLimit stated, long nowMillis) {
        return switch (stated) {
            case StatedRateLimit.Limit limit ->
                replace(upstream, new Statement(OptionalDouble.of(limit.perSecond()), nowMillis), nowMillis);
            case StatedRateLimit.None none ->
                statements.containsKey(upstream)
                        && replace(upstream, new Statement(OptionalDouble.empty(), nowMillis), nowMillis);
            case StatedRateLimit.Unreadable unreadable -> false;
        };
    }

    /**
     * Merges a statement that another daemon knows. The same report may be merged any number of times and by any way.
     *
     * @param report the statement and its age
     * @param nowMillis current time, in milliseconds
     * @return whether the limit has begun, changed or ended
     */
    public boolean merge(Report report, long nowMillis) {
        Statement known = statements.get(report.upstream());
        Statement heard = new Statement(report.perSecond(), nowMillis - report.ageMillis());
        boolean newer = known == null ? heard.perSecond().isPresent() : heard.atMillis() > known.atMillis();
        return newer && replace(report.upstream(), heard, nowMillis);
    }

    private boolean replace(UpstreamIncarnation upstream, Statement statement, long nowMillis) {
        if (statements.size() >= MAX_UPSTREAMS && !statements.containsKey(upstream)) {
            evict(incarnation -> true, nowMillis);
            if (statements.size() >= MAX_UPSTREAMS) {
                return false;
            }
        }
        OptionalDouble before = limit(upstream);
        statements.put(upstream, statement);
        return !before.equals(statement.perSecond());
    }

    /**
     * Returns the limit of an upstream.
     *
     * @param upstream the upstream
     * @return requests per second from all daemons together, empty if it has no limit
     */
    public OptionalDouble limit(UpstreamIncarnation upstream) {
        Statement statement = statements.get(upstream);
        return statement == null ? OptionalDouble.empty() : statement.perSecond();
    }

    /**
     * Returns whether any upstream has a limit.
     *
     * @return false if there is none
     */
    public boolean any() {
        return statements.values().stream()
                .anyMatch(statement -> statement.perSecond().isPresent());
    }

    /**
     * Returns what to report to other daemons: the limits in force, lowest first, then those that ended lately.
     *
     * @param nowMillis current time, in milliseconds
     * @return one row per upstream
     */
    public List<Report> reports(long nowMillis) {
        Stream<Report> all = statements.entrySet().stream()
                .map(entry -> new Report(
                        entry.getKey(),
                        entry.getValue().perSecond(),
                        Math.max(0, nowMillis - entry.getValue().atMillis())));
        return all.filter(row -> row.perSecond().isPresent() || row.ageMillis() <= REPORT_ENDED_MILLIS)
                .sorted(Comparator.comparingDouble(row -> row.perSecond().orElse(Double.MAX_VALUE)))
                .limit(MAX_REPORTED)
                .toList();
    }

    /**
     * Evicts the limits that ended long ago and those of upstreams that are gone.
     *
     * @param listed whether the registry lists an upstream
     * @param nowMillis current time, in milliseconds
     */
    public void evict(Predicate<UpstreamIncarnation> listed, long nowMillis) {
        statements.entrySet().removeIf(entry -> {
            boolean old = nowMillis - entry.getValue().atMillis() > KEEP_ENDED_MILLIS;
            return old && (entry.getValue().perSecond().isEmpty() || !listed.test(entry.getKey()));
        });
    }
}
