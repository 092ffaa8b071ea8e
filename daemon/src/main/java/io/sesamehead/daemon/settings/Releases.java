package io.sesamehead.daemon.settings;

import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.ReleaseNote;

/** Turns stored releases into what a daemon acts on. */
public final class Releases {
    private Releases() {}

    /**
     * Parses the note of a stored release.
     *
     * @param stored the stored release
     * @return the accepted release, or the problems of its note
     */
    public static ReadResult<AcceptedRelease> accepted(ReleaseObject stored) {
        return switch (ReleaseNoteReader.read(stored.note())) {
            case ReadResult.Valid<ReleaseNote>(ReleaseNote note) ->
                new ReadResult.Valid<>(new AcceptedRelease(stored.generation(), note, stored.drained()));
            case ReadResult.Invalid<ReleaseNote>(var problems) -> new ReadResult.Invalid<>(problems);
        };
    }
}
