package io.sesamehead.state;

import java.util.Optional;

/**
 * Status of one engine, as read by a prober.
 *
 * @param vm the VM
 * @param engine incarnation of the engine process
 * @param group the engine's group, or empty
 * @param epoch epoch of the group, or {@link Epoch#NONE}
 * @param state state of the engine
 * @param model loaded model and version, {@code model@version}, or empty
 * @param inFlight number of requests that the engine is running
 * @param queued number of requests queued in the engine
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
