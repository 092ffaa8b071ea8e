package io.sesamehead.bench.group;

import io.sesamehead.coordination.group.ControllerAction;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.Vm;
import java.util.Optional;

/** One engine as its status shows it. */
final class SimulatedEngine {
    private final Vm vm;
    private final long loadMillis;
    private long incarnation = 1;
    private int outages;
    private boolean powered = true;
    private Optional<GroupId> group = Optional.empty();
    private Epoch epoch = Epoch.NONE;
    private Optional<String> model = Optional.empty();
    private long readyAtMillis;

    SimulatedEngine(Vm vm, long loadMillis) {
        this.vm = vm;
        this.loadMillis = loadMillis;
    }

    Vm vm() {
        return vm;
    }

    boolean reachable() {
        return outages == 0;
    }

    boolean powered() {
        return powered;
    }

    void down() {
        outages++;
    }

    void up() {
        outages--;
    }

    void powerOff() {
        powered = false;
        outages++;
    }

    /** Loses what was loaded; the engine is idle when it is next reached. */
    void restart() {
        incarnation++;
        group = Optional.empty();
        epoch = Epoch.NONE;
        model = Optional.empty();
    }

    void take(ControllerAction.Order order, long nowMillis) {
        switch (order) {
            case ControllerAction.SendLoad load -> {
                join(load.group());
                model = Optional.of(load.group().model() + "@" + load.group().version());
                readyAtMillis = nowMillis + loadMillis;
            }
            case ControllerAction.SendRole role -> join(role.group());
            case ControllerAction.SendRelease release -> {
                if (group.equals(Optional.of(release.group()))) {
                    group = Optional.empty();
                    epoch = Epoch.NONE;
                    model = Optional.empty();
                }
            }
        }
    }

    Evidence evidence(long nowMillis) {
        if (!reachable()) {
            return new Evidence.Unreachable(vm.id(), nowMillis);
        }
        EngineState loaded = nowMillis < readyAtMillis ? EngineState.LOADING : EngineState.READY;
        EngineState state = group.isEmpty() ? EngineState.IDLE : loaded;
        return new Evidence.Reported(
                new MemberReport(vm.id(), new Incarnation(incarnation), group, epoch, state, model, 0, 0, 0),
                nowMillis);
    }

    private void join(Group joined) {
        group = Optional.of(joined.id());
        epoch = joined.epoch();
    }
}
