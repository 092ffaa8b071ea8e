package io.sesamehead.cli.operator;

import com.google.common.collect.ImmutableList;
import io.sesamehead.daemon.protocol.AssignmentCodec;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.Vm;

/** Reads the group assignments and the VM list from the platform. */
public final class FleetReader {
    private final PlatformClient platform;

    /**
     * Creates a reader.
     *
     * @param platform client of the object API
     */
    public FleetReader(PlatformClient platform) {
        this.platform = platform;
    }

    /**
     * Reads the assignments of all failure domains.
     *
     * @return the assignments, ordered by name
     * @throws ReleaseWriter.ReadFailure if the platform does not answer or an object cannot be read
     */
    public ImmutableList<GroupAssignment> assignments() throws ReleaseWriter.ReadException {
        ImmutableList.Builder<GroupAssignment> result = ImmutableList.builder();
        for (PlatformObject object : value(platform.list(ObjectKinds.GROUP_ASSIGNMENTS))) {
            try {
                result.add(AssignmentCodec.decode(object.spec()));
            } catch (MalformedMessageException e) {
                throw new ReleaseWriter.ReadException(
                        "the group assignment of " + object.name() + " cannot be read: " + e.getMessage());
            }
        }
        return result.build();
    }

    /**
     * Reads the VM list.
     *
     * @return the VMs that run an engine
     * @throws ReleaseWriter.ReadFailure if the platform does not answer
     */
    public ImmutableList<Vm> vms() throws ReleaseWriter.ReadException {
        return value(platform.vms());
    }

    private static <T> ImmutableList<T> value(StoreResult<ImmutableList<T>> result) throws ReleaseWriter.ReadException {
        return switch (result) {
            case StoreResult.Ok<ImmutableList<T>>(ImmutableList<T> value) -> value;
            case StoreResult.NotFound<ImmutableList<T>> missing -> ImmutableList.of();
            case StoreResult.Unavailable<ImmutableList<T>>(String detail) ->
                throw new ReleaseWriter.ReadException("the platform does not answer: " + detail);
            case StoreResult.Rejected<ImmutableList<T>>(String detail) ->
                throw new ReleaseWriter.ReadException("the platform refused the read: " + detail);
            default -> throw new ReleaseWriter.ReadException("the platform's rate limit is reached; try again later");
        };
    }
}
