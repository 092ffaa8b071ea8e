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

/** Probes the engines of the VMs assigned to this daemon and sends the evidence to peers. */
public final class ProbeTask implements Runnable {
    /** Two intervals plus one timeout stay below the default maximum evidence age of 3 s. */
    static final Duration INTERVAL = Duration.ofMillis(900);

    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final DaemonTables tables;
    private final EvidenceExchange exchange;
    private final EngineClient engines;
    private final WorkerPool workers;
    private final LongSupplier clock;
    private ProbeInputs lastInputs = new ProbeInputs(ImmutableSet.of(), ImmutableList.of());
    private ImmutableSet<VmId> lastAssigned = ImmutableSet.of();

    private record ProbeInputs(ImmutableSet<VmId> vms, ImmutableList<DaemonId> live) {}

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param exchange sends evidence to peers
     * @param engines client for the engines
     * @param workers runs the probes of a round in parallel
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
        ImmutableSet<VmId> assigned = assigned(new ProbeInputs(
                tables.vms().ids(), tables.directory().liveIds(clock.getAsLong(), tables.failureDomain())));
        CountDownLatch pending = new CountDownLatch(assigned.size());
        for (VmId id : assigned) {
            boolean started = workers.run("probe", () -> {
                try {
                    tables.vms().vm(id).ifPresent(this::probe);
                } finally {
                    pending.countDown();
                }
            });
            if (!started) {
                pending.countDown();
            }
        }
        await(pending);
        exchange.sendDigest(assigned);
    }

    /** Caches the assignment, which hashes each VM with each daemon and whose inputs rarely change. */
    private synchronized ImmutableSet<VmId> assigned(ProbeInputs inputs) {
        if (!inputs.equals(lastInputs)) {
            lastAssigned = ProbeAssignment.assignedTo(tables.self().daemon(), inputs.vms(), inputs.live());
            lastInputs = inputs;
        }
        return lastAssigned;
    }

    /**
     * Reads and records the status of one engine. Changed evidence is sent to peers immediately.
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
     * Records the result of a probe. A report of another VM counts as no answer.
     *
     * @param vm the VM
     * @param report the engine's report, or empty if it did not answer
     * @param observedAtMillis monotonic time before the probe was sent, in milliseconds
     */
    void record(Vm vm, Optional<MemberReport> report, long observedAtMillis) {
        Optional<MemberReport> matching = report.filter(it -> it.vm().equals(vm.id()));
        if (report.isPresent() && matching.isEmpty()) {
            Logger.warn(
                    "group: received a report of {} from the address of {}",
                    report.get().vm(),
                    vm.id());
        }
        Evidence evidence = matching.<Evidence>map(it -> new Evidence.Reported(it, observedAtMillis))
                .orElseGet(() -> new Evidence.Unreachable(vm.id(), observedAtMillis));
        boolean changed = tables.evidence().record(evidence);
        exchange.observeLeaving(observedAtMillis, vm.id());
        if (changed) {
            exchange.sendChanged();
        }
    }

    private static void await(CountDownLatch pending) {
        try {
            boolean done = pending.await(2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            if (!done) {
                Logger.debug("group: some probes of this round did not finish in time");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
