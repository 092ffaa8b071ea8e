package io.sesamehead.cli.operator;

import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.state.Generation;
import java.util.Optional;

/**
 * The release as the platform holds it.
 *
 * @param object the stored object; empty before the first acceptance
 * @param release its content; empty before the first acceptance
 */
public record AcceptedRelease(Optional<PlatformObject> object, Optional<ReleaseObject> release) {
    /** State before the first acceptance. */
    public static final AcceptedRelease NONE = new AcceptedRelease(Optional.empty(), Optional.empty());

    /**
     * Returns the generation.
     *
     * @return the generation, 0 before the first acceptance
     */
    public Generation generation() {
        return release.map(ReleaseObject::generation).orElse(Generation.NONE);
    }
}
