package io.sesamehead.daemon.settings;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Reads and validates the daemon settings; all problems of a file are reported at once. */
public final class SettingsReader {
    /** A daemon must notice a broken group within this time, so evidence may not count for longer. */
    private static final Duration MAX_EVIDENCE_AGE = Duration.ofSeconds(3);

    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int MAX_CALLS = 100_000;
    private static final Duration ONE_MILLI = Duration.ofMillis(1);
    private static final Duration ONE_MINUTE = Duration.ofMinutes(1);
    private static final Duration ONE_HOUR = Duration.ofHours(1);
    private static final Duration DEFAULT_GRACE = Duration.ofSeconds(30);
    private static final ImmutableSet<String> SECTIONS =
            ImmutableSet.of("daemon", "platform", "peers", "lease", "evidence", "limits", "shutdown", "log");
    private static final ImmutableSet<String> LEVELS = ImmutableSet.of("trace", "debug", "info", "warn", "error");

    private SettingsReader() {}

    /**
     * Reads settings.
     *
     * @param text content of the INI file
     * @return the settings, or all problems
     */
    public static ReadResult<DaemonSettings> read(String text) {
        ProblemCollector problems = new ProblemCollector();
        IniFile ini = IniFile.parse(text, problems);
        if (!problems.isEmpty() && ini.names().isEmpty()) {
            return problems.invalid();
        }
        for (String name : ini.names()) {
            if (!SECTIONS.contains(name)) {
                problems.addUnknown(name, "", "section", SECTIONS);
            }
        }
        DaemonSettings settings = new DaemonSettings(
                identity(ini.section("daemon", problems)),
                platform(ini.section("platform", problems)),
                peers(ini.section("peers", problems)),
                lease(ini.section("lease", problems)),
                evidence(ini.section("evidence", problems)),
                limits(ini.section("limits", problems)),
                shutdown(ini.section("shutdown", problems)),
                log(ini.section("log", problems)));
        checkCombinations(settings, problems);
        return problems.isEmpty() ? new ReadResult.Valid<>(settings) : problems.invalid();
    }

    private static DaemonSettings.Identity identity(IniSection section) {
        DaemonSettings.Identity result = new DaemonSettings.Identity(
                new DaemonId(section.name("name")),
                new FailureDomain(section.name("failure-domain")),
                section.name("region"),
                section.address("caller-address"),
                section.address("peer-address"),
                section.address("admin-address"));
        section.reportUnknownKeys();
        return result;
    }

    private static DaemonSettings.Platform platform(IniSection section) {
        DaemonSettings.Platform result = new DaemonSettings.Platform(
                section.address("address"),
                section.duration("timeout", Optional.empty(), ONE_MILLI, ONE_MINUTE),
                section.number("calls-per-second", Optional.empty(), 1, MAX_CALLS));
        section.reportUnknownKeys();
        return result;
    }

    private static DaemonSettings.Peers peers(IniSection section) {
        DaemonSettings.Peers result = new DaemonSettings.Peers(
                section.addresses("seeds"),
                section.duration("heartbeat", Optional.of(Duration.ofSeconds(1)), ONE_MILLI, ONE_MINUTE),
                section.duration("suspect-after", Optional.of(Duration.ofSeconds(3)), ONE_MILLI, ONE_MINUTE));
        section.reportUnknownKeys();
        return result;
    }

    private static DaemonSettings.LeaseTimes lease(IniSection section) {
        DaemonSettings.LeaseTimes result = new DaemonSettings.LeaseTimes(
                section.duration("ttl", Optional.empty(), ONE_MILLI, ONE_HOUR),
                section.duration("drift", Optional.empty(), Duration.ZERO, ONE_HOUR),
                section.duration("longest-order", Optional.empty(), ONE_MILLI, ONE_HOUR));
        section.reportUnknownKeys();
        return result;
    }

    private static DaemonSettings.EvidenceLimits evidence(IniSection section) {
        DaemonSettings.EvidenceLimits result = new DaemonSettings.EvidenceLimits(
                section.duration("max-age", Optional.of(MAX_EVIDENCE_AGE), Duration.ofMillis(100), MAX_EVIDENCE_AGE));
        section.reportUnknownKeys();
        return result;
    }

    private static DaemonSettings.Limits limits(IniSection section) {
        DaemonSettings.Limits result = new DaemonSettings.Limits(
                section.number("concurrent-calls", Optional.empty(), 1, MAX_CALLS),
                section.number("queue-length", Optional.empty(), 0, MAX_CALLS),
                section.number("body-bytes", Optional.of(MAX_BODY_BYTES), 1, MAX_BODY_BYTES));
        section.reportUnknownKeys();
        return result;
    }

    private static DaemonSettings.Shutdown shutdown(IniSection section) {
        DaemonSettings.Shutdown result = new DaemonSettings.Shutdown(
                section.duration("grace", Optional.of(DEFAULT_GRACE), Duration.ZERO, ONE_HOUR));
        section.reportUnknownKeys();
        return result;
    }

    private static DaemonSettings.Log log(IniSection section) {
        DaemonSettings.Log result = new DaemonSettings.Log(section.oneOf("level", "info", LEVELS));
        section.reportUnknownKeys();
        return result;
    }

    private static void checkCombinations(DaemonSettings settings, ProblemCollector problems) {
        DaemonSettings.LeaseTimes lease = settings.lease();
        if (!alreadyWrong(problems, "lease")
                && lease.ttl().compareTo(lease.longestOrder().plus(lease.drift())) <= 0) {
            problems.add("lease", "ttl", "impossible combination: expected more than longest-order plus drift");
        }
        DaemonSettings.Peers peers = settings.peers();
        if (!alreadyWrong(problems, "peers") && peers.suspectAfter().compareTo(peers.heartbeat()) <= 0) {
            problems.add("peers", "suspect-after", "impossible combination: expected more than heartbeat");
        }
        if (!alreadyWrong(problems, "lease")
                && !alreadyWrong(problems, "platform")
                && settings.platform().timeout().compareTo(lease.ttl()) >= 0) {
            problems.add(
                    "platform",
                    "timeout",
                    "impossible combination: expected less than [lease] ttl, or no renewal fits");
        }
        if (!alreadyWrong(problems, "daemon")) {
            checkAddresses(settings.daemon(), problems);
        }
    }

    private static void checkAddresses(DaemonSettings.Identity daemon, ProblemCollector problems) {
        Set<InetSocketAddress> seen = new HashSet<>();
        seen.add(daemon.callerAddress());
        if (daemon.peerAddress().getPort() != 0 && !seen.add(daemon.peerAddress())) {
            problems.add("daemon", "peer-address", "impossible combination: another port has this address");
        }
        if (daemon.adminAddress().getPort() != 0 && !seen.add(daemon.adminAddress())) {
            problems.add("daemon", "admin-address", "impossible combination: another port has this address");
        }
    }

    /** Combinations are only checked between values that are valid by themselves. */
    private static boolean alreadyWrong(ProblemCollector problems, String section) {
        return problems.list().stream().anyMatch(problem -> problem.section().equals(section));
    }
}
