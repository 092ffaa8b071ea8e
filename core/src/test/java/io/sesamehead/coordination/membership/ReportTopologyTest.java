package io.sesamehead.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a number of reports that grows with the square of the number of daemons, and against daemons that stay
 * without a relay after theirs has died.
 */
final class ReportTopologyTest {
    private static final int DAEMONS = 120;
    private static final int DOMAINS = 3;

    private final Map<DaemonId, FailureDomain> all = IntStream.range(0, DAEMONS)
            .boxed()
            .collect(Collectors.toMap(i -> new DaemonId("d" + i), i -> new FailureDomain("zone-" + i % DOMAINS)));
    private final Map<DaemonId, ReportTopology> topologies = new HashMap<>();

    private void build() {
        all.forEach((id, domain) -> {
            ReportTopology topology = new ReportTopology(id, domain);
            Map<DaemonId, FailureDomain> others = new HashMap<>(all);
            others.remove(id);
            topology.updatePeers(others);
            topologies.put(id, topology);
        });
    }

    private Set<DaemonId> chosen(FailureDomain domain, long now) {
        return topologies.entrySet().stream()
                .filter(entry -> all.get(entry.getKey()).equals(domain))
                .flatMap(entry -> entry.getValue().currentRelays(now).stream())
                .collect(Collectors.toSet());
    }

    @Test
    void fewDaemonsFormMesh() {
        ReportTopology topology = new ReportTopology(new DaemonId("self"), new FailureDomain("zone-0"));
        topology.updatePeers(Map.of(new DaemonId("other"), new FailureDomain("zone-1")));

        assertThat(topology.mesh()).isTrue();
    }

    @Test
    void daemonsOfOneDomainChooseSameRelay() {
        build();
        for (FailureDomain domain : Set.copyOf(all.values())) {
            Set<DaemonId> relays = chosen(domain, 0);
            assertThat(relays).hasSize(1);
            DaemonId relay = relays.iterator().next();
            assertThat(all.get(relay)).isEqualTo(domain);
            assertThat(topologies.get(relay).relaying(0)).isTrue();
            assertThat(topologies.get(relay).currentRelays(0)).isEmpty();
        }
    }

    @Test
    void failsOverFromSilentRelayAndReturnsToIt() {
        build();
        FailureDomain domain = new FailureDomain("zone-0");
        DaemonId first = chosen(domain, 0).iterator().next();
        DaemonId reporter = topologies.entrySet().stream()
                .filter(entry -> all.get(entry.getKey()).equals(domain))
                .filter(entry -> entry.getValue().currentRelays(0).contains(first))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
        ReportTopology topology = topologies.get(reporter);

        assertThat(topology.currentRelays(600)).containsExactly(first);
        List<DaemonId> later = topology.currentRelays(800);
        assertThat(later).doesNotContain(first);
        for (long now = 900; now < 5_700; now += 200) {
            later.forEach(relay -> topology.recordOwnRelay(relay, 800));
            topology.recordOwnRelay(later.isEmpty() ? reporter : later.get(0), now);
            assertThat(topology.currentRelays(now)).doesNotContain(first);
        }
        assertThat(topology.currentRelays(5_900)).contains(first);
        topology.recordOwnRelay(first, 6_000);
        assertThat(topology.currentRelays(6_100)).containsExactly(first);
    }

    @Test
    void sendsAggregatesToTwoRelaysPerDomainAndToActiveRelays() {
        build();
        ReportTopology topology = topologies.get(new DaemonId("d0"));
        assertThat(topology.aggregateRecipients(0)).hasSizeBetween(2 * DOMAINS - 1, 2 * DOMAINS);

        DaemonId third = all.keySet().stream()
                .filter(id -> !topology.aggregateRecipients(0).contains(id) && !id.equals(new DaemonId("d0")))
                .findFirst()
                .orElseThrow();
        topology.recordPeerRelay(third, 100);
        assertThat(topology.aggregateRecipients(200)).contains(third);
        assertThat(topology.aggregateRecipients(2_000)).doesNotContain(third);
    }

    @Test
    void relaysOnlyWhileOthersReport() {
        build();
        DaemonId first = chosen(new FailureDomain("zone-0"), 0).iterator().next();
        DaemonId other = all.keySet().stream()
                .filter(id -> all.get(id).equals(new FailureDomain("zone-0")) && !id.equals(first))
                .findFirst()
                .orElseThrow();
        ReportTopology topology = topologies.get(other);
        assertThat(topology.relaying(0)).isFalse();

        topology.recordReporter(first, 100);
        assertThat(topology.reporters(200)).containsExactly(first);
        assertThat(topology.relaying(200)).isTrue();
        assertThat(topology.relaying(2_000)).isFalse();
    }
}
