package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.cli.operator.AcceptedRelease;
import io.sesamehead.cli.operator.WriteOutcome;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.HashSet;
import java.util.Set;

/** {@code drain}: takes a VM out of service without interrupting requests, or returns it to service. */
@Parameters(commandDescription = "Drain a VM: no new work, its group is rebuilt without it; --undo reverses it")
public final class DrainCommand implements Command {
    @Parameter(description = "VM", required = true)
    private String vm;

    @Parameter(names = "--undo", description = "Return the VM to service")
    private boolean undo;

    @Parameter(names = "--json", description = "Print JSON")
    private boolean json;

    @ParametersDelegate
    private final PlatformOptions platformOptions = new PlatformOptions();

    @Override
    public ExitCode run(Console console) throws CommandException, InterruptedException {
        try (PlatformClient platform = platformOptions.open()) {
            ReleaseUpdater updater = new ReleaseUpdater(platform);
            AcceptedRelease accepted = updater.read();
            if (accepted.release().isEmpty()) {
                throw new CommandException(ExitCode.FAILED, "no release note is accepted yet; use `sesamehead apply`");
            }
            ReleaseObject release = accepted.release().get();
            VmId id = new VmId(vm);
            boolean drained = release.drained().contains(id);
            if (drained != undo) {
                print(console, accepted.generation().value(), "was so before; nothing was written");
                return ExitCode.DONE;
            }
            if (!undo) {
                requireListed(platform, id);
            }
            ReleaseObject next =
                    release.next(release.note(), updatedDrainedVms(release, id), ReleaseUpdater.newToken());
            WriteOutcome.Accepted end = updater.write(accepted, next);
            print(console, end.generation().value(), "accepted");
            return ExitCode.DONE;
        }
    }

    private ImmutableSet<VmId> updatedDrainedVms(ReleaseObject release, VmId id) {
        Set<VmId> drained = new HashSet<>(release.drained());
        if (undo) {
            drained.remove(id);
        } else {
            drained.add(id);
        }
        return ImmutableSet.copyOf(drained);
    }

    /** Rejects VMs that are not listed: a misspelled name would be accepted but drain nothing. */
    private static void requireListed(PlatformClient platform, VmId id) throws CommandException {
        if (platform.vms() instanceof StoreResult.Ok<ImmutableList<Vm>>(ImmutableList<Vm> vms)
                && vms.stream().noneMatch(listed -> listed.id().equals(id))) {
            throw new CommandException(
                    ExitCode.WRONG_USAGE, "the platform lists no VM " + id.value() + " with an engine");
        }
    }

    private void print(Console console, long generation, String outcome) {
        String state = undo ? "in service" : "drained";
        if (json) {
            console.print(JsonNodeFactory.instance
                    .objectNode()
                    .put("vm", vm)
                    .put("state", state)
                    .put("generation", generation)
                    .put("outcome", outcome)
                    .toPrettyString());
            return;
        }
        console.print("VM " + vm + " is " + state + " in generation " + generation + ": " + outcome);
    }
}
