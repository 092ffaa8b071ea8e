package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.membership.ProbeAssignment;
import io.sesamehead.daemon.transport.EngineClient;
import io.sesamehead.daemon.transport.EngineStatusResult;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/** Reads the status of the VMs that are assigned to this daemon and sends what it saw to the peers. */
public final class ProbeTask implements Runnable {
    /** Two intervals and one timeout stay below the default evidence age of 3 s. */
    static final Duration INTERVAL = Duration.ofMillis(900);

    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final DaemonTables tables;
    private final EvidenceExchange exchange;
    private final EngineClient engines;
    private final WorkerPool workers;
    private final LongSupplier clock;
    private Among lastAmong = new Among(ImmutableSet.of(), ImmutableList.of());
    private ImmutableSet<VmId> lastAssigned = ImmutableSet.of();

    private record Among(ImmutableSet<VmId> vms, ImmutableList<DaemonId> live) {}

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param exchange sends evidence to peers
     * @param engines client of the engines
     * @param workers run the probes of one round side by side
     * @param clock monotonic clock, in milliseconds
     */
    public ProbeTask(
            DaemonTables tables,
            EvidenceExchange exchange,
            EngineClient engines,
            WorkerPool workers,
            LongSupplier clock) {
        this.tables = tables;
        this.exchange = exchange;
        this.engines = engines;
        this.workers = workers;
        this.clock = clock;
    }

    @Override
    public void run() {
        ImmutableSet<VmId> assigned = assigned(
                new Among(tables.vms().ids(), tables.directory().liveIds(clock.getAsLong(), tables.failureDomain())));
        CountDownLatch open = new CountDownLatch(assigned.size());
        for (VmId id : assigned) {
            boolean started = workers.run("probe", () -> {
                try {
                    tables.vms().vm(id).ifPresent(this::probe);
                } finally {
                    open.countDown();
                }
            });
            if (!started) {
                open.countDown();
            }
        }
        await(open);
        exchange.sendDigest(assigned);
    }

    /** The assignment hashes each VM with each daemon, and what it depends on seldom changes. */
    private synchronized ImmutableSet<VmId> assigned(Among among) {
        if (!among.equals(lastAmong)) {
            lastAssigned = ProbeAssignment.assignedTo(tables.self().daemon(), among.vms(), among.live());
            lastAmong = among;
        }
        return lastAssigned;
    }

    /**
     * Reads the status of one engine and records it; a change is sent to the peers at once.
     *
     * @param vm the VM
     */
    public void probe(Vm vm) {
        long beforeMillis = clock.getAsLong();
        Optional<MemberReport> report = switch (engines.status(vm.engineAddress(), TIMEOUT)) {
            case EngineStatusResult.Received(var status) -> Optional.of(status.report());
            case EngineStatusResult.NoResponse(String detail) -> {
                Logger.debug("group: {} did not answer: {}", vm.id(), detail);
                yield Optional.empty();
            }
        };
        record(vm, report, beforeMillis);
    }

    /**
     * Records what an engine said.
     *
     * @param vm the VM
     * @param report the engine's report, or empty when it did not answer
     * @param observedAtMillis time before the question was sent, in milliseconds
     */
    void record(Vm vm, Optional<MemberReport> report, long observedAtMillis) {
        Optional<MemberReport> own = report.filter(it -> it.vm().equals(vm.id()));
        if (report.isPresent() && own.isEmpty()) {
            Logger.warn("group: {} answers at the address of {}", report.get().vm(), vm.id());
        }
        Evidence evidence = own.<Evidence>map(it -> new Evidence.Reported(it, observedAtMillis))
                .orElseGet(() -> new Evidence.Unreachable(vm.id(), observedAtMillis));
        boolean changed = tables.evidence().record(evidence);
        exchange.observeLeaving(observedAtMillis, vm.id());
        if (changed) {
            exchange.sendChanged();
        }
    }

    private static void await(CountDownLatch open) {
        try {
            boolean done = open.await(2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            if (!done) {
                Logger.debug("group: some probes of this round are late");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
