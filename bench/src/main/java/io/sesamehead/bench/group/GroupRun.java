package io.sesamehead.bench.group;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.bench.VirtualTime;
import io.sesamehead.coordination.group.Controller;
import io.sesamehead.coordination.group.ControllerAction;
import io.sesamehead.coordination.group.ControllerSettings;
import io.sesamehead.coordination.group.ControllerView;
import io.sesamehead.coordination.group.RepairPolicy;
import io.sesamehead.coordination.group.ServeDecision;
import io.sesamehead.coordination.group.ServeGate;
import io.sesamehead.coordination.lease.HeldLease;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.Generation;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.ReleaseNote.PolicySettings;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.ServiceSpec.ModelService;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/** Drives the controller of one failure domain with a list of faults. */
final class GroupRun {
    private static final long EVIDENCE_MAX_AGE_MILLIS = 3_000;
    private static final long LONGEST_ORDER_MILLIS = 1_000;
    static final long ACTIVE_STEP_MILLIS = 1_000;

    /** Short against the time of a load, so that decisions are late by a few per cent at most. */
    private static final long WAITING_STEP_MILLIS = 5_000;

    /** Time after an event or an action in which the steps are as frequent as the daemon's. */
    private static final long ACTIVE_MILLIS = 15_000;

    /** The platform's list of VMs lags. */
    private static final long LIST_LAG_MILLIS = 60_000;

    private final GroupSetting setting;
    private final long waitingStepMillis;
    private final AcceptedRelease release;
    private final Controller controller;
    private final VirtualTime time = new VirtualTime();
    private final TreeMap<VmId, SimulatedEngine> engines = new TreeMap<>();
    private final double askedAccelerators;
    private GroupAssignment stored = GroupAssignment.empty(GroupSetting.DOMAIN);
    private GroupFigures figures = GroupFigures.NONE;
    private boolean quiet;
    private boolean stepScheduled;
    private long changedMillis;
    private long sampledMillis;
    private int replacements;

    private GroupRun(GroupSetting setting, Function<PolicySettings, RepairPolicy> repairs, long waitingStepMillis) {
        this.setting = setting;
        this.waitingStepMillis = waitingStepMillis;
        this.release = release(setting);
        this.controller = new Controller(
                GroupSetting.DOMAIN, ControllerSettings.of(EVIDENCE_MAX_AGE_MILLIS, LONGEST_ORDER_MILLIS), repairs);
        setting.vms().forEach(this::add);
        this.askedAccelerators = setting.replicas()
                * setting.vmsPerGroup()
                * setting.vms().stream().mapToInt(Vm::accelerators).average().orElseThrow();
    }

    static GroupFigures measure(
            GroupSetting setting, Function<PolicySettings, RepairPolicy> repairs, List<Fault> faults, long endMillis) {
        return measure(setting, repairs, faults, endMillis, WAITING_STEP_MILLIS);
    }

    static GroupFigures measure(
            GroupSetting setting,
            Function<PolicySettings, RepairPolicy> repairs,
            List<Fault> faults,
            long endMillis,
            long waitingStepMillis) {
        GroupRun run = new GroupRun(setting, repairs, waitingStepMillis);
        run.settle();
        for (Fault fault : faults) {
            run.time.after(fault.atMillis(), () -> run.strike(fault));
        }
        run.time.runUntil(run.time.nowMillis() + endMillis);
        return run.figures;
    }

    /** Forms all groups before the figures begin. */
    private void settle() {
        time.runUntil(ACTIVE_STEP_MILLIS);
        while (!quiet) {
            step();
            time.runUntil(time.nowMillis() + ACTIVE_STEP_MILLIS);
        }
        figures = GroupFigures.NONE;
        sampledMillis = time.nowMillis();
    }

    private void add(Vm vm) {
        engines.put(vm.id(), new SimulatedEngine(vm, setting.loadMillis()));
        quiet = false;
    }

    private void strike(Fault fault) {
        sample();
        wake();
        List<SimulatedEngine> alive =
                engines.values().stream().filter(SimulatedEngine::powered).toList();
        SimulatedEngine victim = alive.get(fault.victim() % alive.size());
        switch (fault.kind()) {
            case VM_FAILURE -> fail(victim, fault.outageMillis());
            case RESTART -> {
                victim.restart();
                pause(victim, fault.outageMillis());
            }
            case PAUSE -> pause(victim, fault.outageMillis());
            case DARK_FABRIC_DOMAIN -> {
                FabricDomain dark = new FabricDomain("fabric-" + fault.victim() % setting.fabricDomains());
                alive.stream()
                        .filter(engine -> engine.vm().fabricDomain().equals(dark))
                        .forEach(engine -> pause(engine, fault.outageMillis()));
            }
        }
    }

    private void fail(SimulatedEngine victim, long outageMillis) {
        victim.powerOff();
        time.after(
                LIST_LAG_MILLIS, () -> change(() -> engines.remove(victim.vm().id())));
        replacements++;
        Vm replacement = GroupSetting.replacement(victim.vm(), replacements);
        time.after(outageMillis, () -> change(() -> add(replacement)));
    }

    private void pause(SimulatedEngine victim, long outageMillis) {
        victim.down();
        time.after(outageMillis, () -> change(victim::up));
    }

    private void change(Runnable event) {
        sample();
        wake();
        event.run();
    }

    private void wake() {
        quiet = false;
        changedMillis = time.nowMillis();
        scheduleStep(ACTIVE_STEP_MILLIS);
    }

    private void scheduleStep(long delayMillis) {
        if (!stepScheduled) {
            stepScheduled = true;
            time.after(delayMillis, this::scheduledStep);
        }
    }

    /** Steps are skipped while nothing is missing, and are rarer while the controller only waits. */
    private void scheduledStep() {
        stepScheduled = false;
        step();
        if (!quiet) {
            boolean active = time.nowMillis() - changedMillis < ACTIVE_MILLIS;
            scheduleStep(active ? ACTIVE_STEP_MILLIS : waitingStepMillis);
        }
    }

    private void step() {
        sample();
        ImmutableList<ControllerAction> actions = controller.step(time.nowMillis(), view());
        actions.forEach(this::carryOut);
        if (!actions.isEmpty()) {
            changedMillis = time.nowMillis();
        }
        boolean allReachable = engines.values().stream().allMatch(SimulatedEngine::reachable);
        boolean allServe = stored.groups().stream().filter(this::serves).count() == setting.replicas()
                && stored.groups().size() == setting.replicas();
        quiet = actions.isEmpty() && allReachable && allServe;
    }

    private void carryOut(ControllerAction action) {
        switch (action) {
            case ControllerAction.WriteAssignment write -> stored = write.assignment();
            case ControllerAction.ReadStatus read -> {}
            case ControllerAction.Order order -> {
                SimulatedEngine engine = engines.get(order.vm().id());
                if (engine != null && engine.reachable()) {
                    engine.take(order, time.nowMillis());
                    controller.recordAnswered(order);
                }
            }
        }
    }

    /** Adds the time since the last sample, in which nothing changed. */
    private void sample() {
        long millis = time.nowMillis() - sampledMillis;
        sampledMillis = time.nowMillis();
        if (millis == 0) {
            return;
        }
        double powered = engines.values().stream()
                .filter(SimulatedEngine::powered)
                .mapToInt(engine -> engine.vm().accelerators())
                .sum();
        List<Group> serving = stored.groups().stream().filter(this::serves).toList();
        double useful = serving.stream()
                .flatMap(group -> group.members().stream())
                .mapToInt(member -> engines.get(member.vm()).vm().accelerators())
                .sum();
        double missing = (double) (setting.replicas() - serving.size()) / setting.replicas();
        figures = figures.plus(new GroupFigures(
                missing * askedAccelerators * millis,
                askedAccelerators * millis,
                (powered - useful) * millis,
                powered * millis));
    }

    private boolean serves(Group group) {
        return ServeGate.decide(time.nowMillis(), group, this::evidence, EVIDENCE_MAX_AGE_MILLIS)
                instanceof ServeDecision.Serve;
    }

    private Optional<Evidence> evidence(VmId vm) {
        return Optional.ofNullable(engines.get(vm)).map(engine -> engine.evidence(time.nowMillis()));
    }

    private ControllerView view() {
        ImmutableList<Vm> vms =
                engines.values().stream().map(SimulatedEngine::vm).collect(ImmutableList.toImmutableList());
        ImmutableMap.Builder<VmId, Evidence> evidence = ImmutableMap.builder();
        engines.forEach((vm, engine) -> evidence.put(vm, engine.evidence(time.nowMillis())));
        return new ControllerView(
                Optional.of(new HeldLease(1, 0)), Optional.of(release), stored, vms, evidence.buildOrThrow());
    }

    private static AcceptedRelease release(GroupSetting setting) {
        ServiceName name = new ServiceName("assistant");
        ModelService service = new ModelService(
                name,
                "model",
                "1",
                setting.replicas(),
                setting.vmsPerGroup(),
                GroupSetting.OLD_MEMORY_GB,
                false,
                ImmutableSet.of(GroupSetting.DOMAIN),
                setting.loadMillis());
        PolicySettings policy = new PolicySettings(
                setting.downtimeWeight(), "reload-proportional", setting.spares() / setting.fabricDomains());
        ReleaseNote note = new ReleaseNote(
                "",
                ImmutableMap.of(name, service),
                ImmutableMap.of(),
                setting.loadsPerMinute(),
                policy,
                ImmutableSet.of());
        return new AcceptedRelease(new Generation(1), note, ImmutableSet.of());
    }
}
