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

/** Guards against reports that grow with the square of the daemons, and against daemons that a dead relay leaves alone. */
final class ReportTopologyTest {
    private static final int DAEMONS = 120;
    private static final int DOMAINS = 3;

    private final Map<DaemonId, FailureDomain> all = IntStream.range(0, DAEMONS)
            .boxed()
            .collect(Collectors.toMap(i -> new DaemonId("d" + i), i -> new FailureDomain("zone-" + i % DOMAINS)));
    private final Map<DaemonId, ReportTopology> views = new HashMap<>();

    private void build() {
        all.forEach((id, domain) -> {
            ReportTopology relays = new ReportTopology(id, domain);
            Map<DaemonId, FailureDomain> others = new HashMap<>(all);
            others.remove(id);
            relays.updatePeers(others);
            views.put(id, relays);
        });
    }

    private Set<DaemonId> chosen(FailureDomain domain, long now) {
        return views.entrySet().stream()
                .filter(entry -> all.get(entry.getKey()).equals(domain))
                .flatMap(entry -> entry.getValue().currentRelays(now).stream())
                .collect(Collectors.toSet());
    }

    @Test
    void fewDaemonsFormMesh() {
        ReportTopology relays = new ReportTopology(new DaemonId("self"), new FailureDomain("zone-0"));
        relays.updatePeers(Map.of(new DaemonId("other"), new FailureDomain("zone-1")));

        assertThat(relays.mesh()).isTrue();
    }

    @Test
    void daemonsOfOneDomainChooseSameRelay() {
        build();
        for (FailureDomain domain : Set.copyOf(all.values())) {
            Set<DaemonId> relays = chosen(domain, 0);
            assertThat(relays).hasSize(1);
            DaemonId relay = relays.iterator().next();
            assertThat(all.get(relay)).isEqualTo(domain);
            assertThat(views.get(relay).relaying(0)).isTrue();
            assertThat(views.get(relay).currentRelays(0)).isEmpty();
        }
    }

    @Test
    void failsOverFromSilentRelayAndReturnsToIt() {
        build();
        FailureDomain domain = new FailureDomain("zone-0");
        DaemonId first = chosen(domain, 0).iterator().next();
        DaemonId reporter = views.entrySet().stream()
                .filter(entry -> all.get(entry.getKey()).equals(domain))
                .filter(entry -> entry.getValue().currentRelays(0).contains(first))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
        ReportTopology relays = views.get(reporter);

        assertThat(relays.currentRelays(600)).containsExactly(first);
        List<DaemonId> later = relays.currentRelays(800);
        assertThat(later).doesNotContain(first);
        for (long now = 900; now < 5_700; now += 200) {
            later.forEach(relay -> relays.recordOwnRelay(relay, 800));
            relays.recordOwnRelay(later.isEmpty() ? reporter : later.get(0), now);
            assertThat(relays.currentRelays(now)).doesNotContain(first);
        }
        assertThat(relays.currentRelays(5_900)).contains(first);
        relays.recordOwnRelay(first, 6_000);
        assertThat(relays.currentRelays(6_100)).containsExactly(first);
    }

    @Test
    void sendsAggregatesToTwoRelaysPerDomainAndToActiveRelays() {
        build();
        ReportTopology relays = views.get(new DaemonId("d0"));
        assertThat(relays.aggregateRecipients(0)).hasSizeBetween(2 * DOMAINS - 1, 2 * DOMAINS);

        DaemonId third = all.keySet().stream()
                .filter(id -> !relays.aggregateRecipients(0).contains(id) && !id.equals(new DaemonId("d0")))
                .findFirst()
                .orElseThrow();
        relays.recordPeerRelay(third, 100);
        assertThat(relays.aggregateRecipients(200)).contains(third);
        assertThat(relays.aggregateRecipients(2_000)).doesNotContain(third);
    }

    @Test
    void relaysOnlyWhileOthersReport() {
        build();
        DaemonId first = chosen(new FailureDomain("zone-0"), 0).iterator().next();
        DaemonId other = all.keySet().stream()
                .filter(id -> all.get(id).equals(new FailureDomain("zone-0")) && !id.equals(first))
                .findFirst()
                .orElseThrow();
        ReportTopology relays = views.get(other);
        assertThat(relays.relaying(0)).isFalse();

        relays.recordReporter(first, 100);
        assertThat(relays.reporters(200)).containsExactly(first);
        assertThat(relays.relaying(200)).isTrue();
        assertThat(relays.relaying(2_000)).isFalse();
    }
}
