package io.sesamehead.cli.operator;

import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.state.Generation;
import java.util.Optional;

/**
 * The accepted release as stored on the platform.
 *
 * @param object the stored object; empty before a release has been accepted
 * @param release the decoded content of the object; empty before a release has been accepted
 */
public record AcceptedRelease(Optional<PlatformObject> object, Optional<ReleaseObject> release) {
    /** Value before a release has been accepted. */
    public static final AcceptedRelease NONE = new AcceptedRelease(Optional.empty(), Optional.empty());

    /**
     * Returns the generation.
     *
     * @return the generation; 0 before a release has been accepted
     */
    public Generation generation() {
        return release.map(ReleaseObject::generation).orElse(Generation.NONE);
    }
}
