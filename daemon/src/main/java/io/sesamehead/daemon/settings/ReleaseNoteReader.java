package io.sesamehead.daemon.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.ServiceSpec;
import java.time.Duration;
import java.util.Optional;

/** Reads and validates a release note; all problems of a file are reported at once. */
public final class ReleaseNoteReader {
    private static final String SERVICE_PREFIX = "service ";
    private static final String ACCOUNT_PREFIX = "account ";
    private static final ImmutableSet<String> SECTIONS =
            ImmutableSet.of("release", "service NAME", "account NAME", "weights", "policy", "withdraw");
    private static final ImmutableSet<String> KINDS = ImmutableSet.of("model", "plain");
    private static final ImmutableSet<String> REPAIRS = ImmutableSet.of("reload-proportional", "fixed-timeout");
    private static final int MAX_REPLICAS = 1000;

    /** A replica spans up to 8 VMs. */
    private static final int MAX_VMS_PER_REPLICA = 8;

    private static final int MAX_MEMORY_GB = 10_000;
    private static final int MAX_LOAD_SECONDS = 86_400;
    private static final int MAX_SHARE = 1000;
    private static final int MAX_LOADS_PER_MINUTE = 100_000;
    private static final int DEFAULT_LOADS_PER_MINUTE = 60;
    private static final double DEFAULT_DOWNTIME_WEIGHT = 0.5;
    private static final int MAX_SPARES = 1000;

    private ReleaseNoteReader() {}

    /**
     * Reads a release note.
     *
     * @param text content of the INI file
     * @return the release note, or all problems
     */
    public static ReadResult<ReleaseNote> read(String text) {
        ProblemCollector problems = new ProblemCollector();
        IniFile ini = IniFile.parse(text, problems);
        ImmutableMap.Builder<ServiceName, ServiceSpec> services = ImmutableMap.builder();
        ImmutableMap.Builder<ClientAccount, Integer> shares = ImmutableMap.builder();
        for (String name : ini.names()) {
            IniSection section = ini.section(name, problems);
            if (name.startsWith(SERVICE_PREFIX)) {
                service(name, section, problems).ifPresent(spec -> services.put(spec.name(), spec));
            } else if (name.startsWith(ACCOUNT_PREFIX)
                    && !afterPrefix(name, ACCOUNT_PREFIX).isEmpty()) {
                int share = section.number("share", Optional.empty(), 1, MAX_SHARE);
                section.reportUnknownKeys();
                shares.put(new ClientAccount(afterPrefix(name, ACCOUNT_PREFIX)), share);
            } else if (!SECTIONS.contains(name)) {
                problems.addUnknown(name, "", "section", SECTIONS);
            }
        }
        if (!ini.has("release")) {
            problems.add("release", "", "missing; expected a section with the key note");
        }
        IniSection release = ini.section("release", problems);
        String note = release.textOr("note", "");
        release.reportUnknownKeys();
        ReleaseNote result = new ReleaseNote(
                note,
                services.buildKeepingLast(),
                shares.buildKeepingLast(),
                loadsPerMinute(ini.section("weights", problems)),
                policy(ini.section("policy", problems)),
                withdrawn(ini.section("withdraw", problems)));
        checkWithdrawn(result, problems);
        return problems.isEmpty() ? new ReadResult.Valid<>(result) : problems.invalid();
    }

    /**
     * Finds services that a new note drops without saying so. A service of the accepted note must be listed or
     * withdrawn, so that none is removed by an accidental omission.
     *
     * @param accepted the note in force
     * @param next the new note
     * @return the problems of the new note, empty when it may replace the accepted one
     */
    public static ImmutableList<SettingProblem> findOmittedServices(ReleaseNote accepted, ReleaseNote next) {
        ProblemCollector problems = new ProblemCollector();
        for (ServiceName name : accepted.services().keySet()) {
            if (!next.services().containsKey(name) && !next.withdrawn().contains(name)) {
                problems.add(
                        SERVICE_PREFIX + name,
                        "",
                        "missing; the service is in force: list it, or name it in [withdraw] services");
            }
        }
        return problems.list();
    }

    private static Optional<ServiceSpec> service(String sectionName, IniSection section, ProblemCollector problems) {
        String name = afterPrefix(sectionName, SERVICE_PREFIX);
        if (!IniSection.isName(name)) {
            problems.add(
                    sectionName, "", "the service name is not valid: expected lower-case letters, digits and dashes");
            return Optional.empty();
        }
        String kind = section.textOr("kind", "");
        if (kind.isEmpty()) {
            section.addMissing("kind", "one of " + String.join(", ", KINDS), kind);
            return Optional.empty();
        }
        if (!KINDS.contains(kind)) {
            section.addInvalid("kind", kind, "expected one of " + String.join(", ", KINDS));
            return Optional.empty();
        }
        ServiceSpec spec =
                kind.equals("model") ? model(new ServiceName(name), section) : plain(new ServiceName(name), section);
        section.reportUnknownKeys();
        return Optional.of(spec);
    }

    private static ServiceSpec model(ServiceName name, IniSection section) {
        String model = section.text("model");
        String version = section.text("version");
        int replicas = section.number("replicas", Optional.empty(), 0, MAX_REPLICAS);
        int vmsPerReplica = section.number("vms-per-replica", Optional.empty(), 1, MAX_VMS_PER_REPLICA);
        int memoryGb = section.number("accelerator-memory-gb", Optional.empty(), 1, MAX_MEMORY_GB);
        boolean checksFencing = section.flag("checks-fencing", false);
        ImmutableList<String> domains = section.names("failure-domains");
        if (domains.isEmpty()) {
            section.addMissing("failure-domains", "a list of failure domains", domains);
        }
        int loadSeconds = section.number("load-seconds", Optional.empty(), 1, MAX_LOAD_SECONDS);
        return new ServiceSpec.ModelService(
                name,
                model,
                version,
                replicas,
                vmsPerReplica,
                memoryGb,
                checksFencing,
                domains.stream().map(FailureDomain::new).collect(ImmutableSet.toImmutableSet()),
                Duration.ofSeconds(loadSeconds).toMillis());
    }

    private static ServiceSpec plain(ServiceName name, IniSection section) {
        ImmutableList.Builder<ServiceSpec.ServiceAddress> addresses = ImmutableList.builder();
        ImmutableList<String> items = section.list("addresses");
        if (items.isEmpty()) {
            section.addMissing("addresses", "a list of failure-domain@ip:port", items);
        }
        for (String item : items) {
            int at = item.indexOf('@');
            if (at > 0
                    && IniSection.isName(item.substring(0, at))
                    && IniSection.parseAddress(item.substring(at + 1)).isPresent()) {
                addresses.add(new ServiceSpec.ServiceAddress(
                        new FailureDomain(item.substring(0, at)), item.substring(at + 1)));
            } else {
                section.addInvalid("addresses", item, "expected failure-domain@ip:port");
            }
        }
        return new ServiceSpec.PlainService(
                name,
                addresses.build(),
                section.flag("non-idempotent", false),
                section.flag("asks-by-key", false),
                section.flag("refuses-repeats", false));
    }

    private static int loadsPerMinute(IniSection section) {
        int result = section.number("loads-per-minute", Optional.of(DEFAULT_LOADS_PER_MINUTE), 1, MAX_LOADS_PER_MINUTE);
        section.reportUnknownKeys();
        return result;
    }

    private static ReleaseNote.PolicySettings policy(IniSection section) {
        ReleaseNote.PolicySettings result = new ReleaseNote.PolicySettings(
                section.fraction("downtime-weight", DEFAULT_DOWNTIME_WEIGHT),
                section.oneOf("repair", "reload-proportional", REPAIRS),
                section.number("spares-per-fabric-domain", Optional.of(0), 0, MAX_SPARES));
        section.reportUnknownKeys();
        return result;
    }

    private static ImmutableSet<ServiceName> withdrawn(IniSection section) {
        ImmutableSet<ServiceName> result =
                section.names("services").stream().map(ServiceName::new).collect(ImmutableSet.toImmutableSet());
        section.reportUnknownKeys();
        return result;
    }

    private static void checkWithdrawn(ReleaseNote note, ProblemCollector problems) {
        for (ServiceName name : note.withdrawn()) {
            if (note.services().containsKey(name)) {
                problems.add(
                        "withdraw", "services", "impossible combination: " + name + " is also listed as a service");
            }
        }
    }

    private static String afterPrefix(String section, String prefix) {
        return section.substring(prefix.length()).strip();
    }
}
