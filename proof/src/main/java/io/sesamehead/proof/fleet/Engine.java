package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.group.ControllerAction;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.Vm;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A model engine on one VM, with its true state and its recent past. */
final class Engine {
    /** The past is kept for longer than any evidence counts. */
    private static final long HISTORY_RETENTION_MILLIS = 20_000;

    private final SimulationContext context;
    private final Vm vm;
    private final boolean checksFencing;
    private final List<HistoryEntry> history = new ArrayList<>();
    private SimProcess process;
    private Incarnation incarnation;
    private boolean leaving;
    private boolean unreachable;
    private Epoch highestEpoch = Epoch.NONE;
    private Optional<Group> assignedGroup = Optional.empty();
    private Optional<GroupId> group = Optional.empty();
    private Epoch epoch = Epoch.NONE;
    private Optional<String> model = Optional.empty();
    private boolean loaded;
    private int rank;
    private long loadSequence;

    /** Time in which an engine held one place. The end is the time of the next change. */
    private record HistoryEntry(
            long fromMillis, Optional<GroupId> group, Epoch epoch, Incarnation incarnation, boolean ready) {}

    Engine(SimulationContext sim, Vm vm, boolean checksFencing) {
        this.context = sim;
        this.vm = vm;
        this.checksFencing = checksFencing;
        start();
    }

    /** Starts a new life of the engine at its address. */
    void start() {
        process = context.newProcess();
        incarnation = context.newIncarnation();
        leaving = false;
        highestEpoch = Epoch.NONE;
        clear();
    }

    void kill() {
        process.kill();
        clear();
    }

    void setUnreachable(boolean isDark) {
        unreachable = isDark;
    }

    void startLeaving() {
        leaving = true;
    }

    Vm vm() {
        return vm;
    }

    SimProcess process() {
        return process;
    }

    boolean reachable() {
        return !unreachable && !process.dead();
    }

    boolean checksFencing() {
        return checksFencing;
    }

    Optional<GroupId> group() {
        return group;
    }

    Epoch epoch() {
        return epoch;
    }

    Optional<Group> assignedGroup() {
        return assignedGroup;
    }

    boolean loaded() {
        return loaded;
    }

    /** Tells whether work for a group may run here. */
    boolean canExecute(GroupId asked, Epoch askedEpoch) {
        return state() == EngineState.READY
                && rank == 0
                && group.equals(Optional.of(asked))
                && epoch.equals(askedEpoch);
    }

    boolean isMemberOf(Group asked) {
        return !process.dead() && group.equals(Optional.of(asked.id())) && epoch.equals(asked.epoch());
    }

    /** Tells whether the engine was ready in a place at any time since. */
    boolean wasReadySince(long sinceMillis, Group asked, Optional<Incarnation> life) {
        long endMillis = Long.MAX_VALUE;
        for (HistoryEntry span : history.reversed()) {
            boolean matches = span.ready
                    && span.group.equals(Optional.of(asked.id()))
                    && span.epoch.equals(asked.epoch())
                    && Optional.of(span.incarnation).equals(life);
            if (matches && endMillis >= sinceMillis) {
                return true;
            }
            endMillis = span.fromMillis;
        }
        return false;
    }

    /** Tells whether an order would change the place of this engine. */
    boolean wouldChange(ControllerAction.Order order) {
        if (checksFencing && order.epoch().compareTo(highestEpoch) < 0) {
            return false;
        }
        return switch (order) {
            case ControllerAction.SendLoad load -> !isMemberOf(load.group());
            case ControllerAction.SendRole role ->
                group.equals(Optional.of(role.group().id()));
            case ControllerAction.SendRelease release -> group.equals(Optional.of(release.group()));
        };
    }

    void applyOrder(ControllerAction.Order order) {
        if (!wouldChange(order)) {
            return;
        }
        highestEpoch = order.epoch().compareTo(highestEpoch) > 0 ? order.epoch() : highestEpoch;
        switch (order) {
            case ControllerAction.SendLoad load -> load(load);
            case ControllerAction.SendRole role -> {
                join(role.group(), role.rank());
                recordHistory();
            }
            case ControllerAction.SendRelease release -> clear();
        }
    }

    MemberReport report() {
        return new MemberReport(vm.id(), incarnation, group, epoch, state(), model, 0, 0, 0);
    }

    private void load(ControllerAction.SendLoad load) {
        join(load.group(), load.rank());
        model = Optional.of(load.group().model() + "@" + load.group().version());
        loaded = false;
        loadSequence++;
        long number = loadSequence;
        recordHistory();
        process.after(context.randomMillis(ReleaseFactory.LOAD_MILLIS / 2, ReleaseFactory.LOAD_MILLIS), () -> {
            if (number == loadSequence) {
                loaded = true;
                recordHistory();
            }
        });
    }

    private void join(Group joined, int newRank) {
        assignedGroup = Optional.of(joined);
        group = Optional.of(joined.id());
        epoch = joined.epoch();
        rank = newRank;
    }

    private void clear() {
        assignedGroup = Optional.empty();
        group = Optional.empty();
        epoch = Epoch.NONE;
        model = Optional.empty();
        loaded = false;
        loadSequence++;
        recordHistory();
    }

    private EngineState state() {
        if (leaving) {
            return EngineState.LEAVING;
        }
        if (group.isEmpty()) {
            return EngineState.IDLE;
        }
        return loaded ? EngineState.READY : EngineState.LOADING;
    }

    private void recordHistory() {
        history.add(new HistoryEntry(context.nowMillis(), group, epoch, incarnation, loaded && !process.dead()));
        long oldestMillis = context.nowMillis() - HISTORY_RETENTION_MILLIS;
        while (history.size() > 1 && history.get(1).fromMillis < oldestMillis) {
            history.remove(0);
        }
    }
}
