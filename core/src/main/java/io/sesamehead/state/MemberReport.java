package io.sesamehead.state;

import java.util.Optional;

/**
 * What a prober read from one engine's status.
 *
 * @param vm the VM
 * @param engine incarnation of the engine process
 * @param group group that the engine reports, or empty
 * @param epoch epoch that the engine reports, or {@link Epoch#NONE}
 * @param state state of the engine
 * @param model loaded model and version, {@code model@version}, or empty
 * @param inFlight requests that the engine runs
 * @param queued requests that wait in the engine
 * @param reportAgeMillis age of the load figures when they were read, in milliseconds
 */
public record MemberReport(
        VmId vm,
        Incarnation engine,
        Optional<GroupId> group,
        Epoch epoch,
        EngineState state,
        Optional<String> model,
        int inFlight,
        int queued,
        long reportAgeMillis) {}
