package io.sesamehead.coordination.store;

import io.sesamehead.state.WriteToken;
import java.util.Optional;

/** Resolves a conditional write whose answer was lost, from the object that was read back. */
public final class WriteResolver {
    /** Writers' tokens that {@code releases/current} keeps. */
    public static final int HISTORY_LENGTH = 16;

    private WriteResolver() {}

    /**
     * Resolves a write.
     *
     * @param sent token of the write
     * @param baseVersion version on which the write was conditional, or empty for a creation
     * @param read the object as read back after the write was sent, or empty when it does not exist
     * @return what became of the write
     */
    public static WriteResolution resolve(
            WriteToken sent, Optional<String> baseVersion, Optional<ReadBackObject> read) {
        if (read.isEmpty()) {
            return baseVersion.isEmpty() ? new WriteResolution.NotApplied() : new WriteResolution.Unknown();
        }
        ReadBackObject object = read.get();
        if (object.token().equals(Optional.of(sent))) {
            return new WriteResolution.Accepted();
        }
        if (object.history().contains(sent)) {
            return new WriteResolution.SupersededAfterAcceptance();
        }
        if (baseVersion.equals(Optional.of(object.version()))) {
            return new WriteResolution.NotApplied();
        }
        return historyIsComplete(object) ? new WriteResolution.Refused() : new WriteResolution.Unknown();
    }

    /** A history that is not full has dropped no writer. */
    private static boolean historyIsComplete(ReadBackObject object) {
        return !object.history().isEmpty() && object.history().size() < HISTORY_LENGTH;
    }
}
