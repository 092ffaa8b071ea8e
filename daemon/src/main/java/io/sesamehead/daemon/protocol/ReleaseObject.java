package io.sesamehead.daemon.protocol;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.daemon.settings.ReadResult;
import io.sesamehead.daemon.settings.ReleaseNoteReader;
import io.sesamehead.daemon.settings.SettingProblem;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.Generation;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.VmId;
import io.sesamehead.state.WriteToken;

/**
 * Content of {@code releases/current}. The note is kept as INI text, so that every reader validates the same text.
 *
 * @param generation generation of the acceptance
 * @param note the release note as INI text
 * @param drained VMs that operators drain
 * @param token token of the last write
 * @param writers tokens of the last writers, newest first
 */
public record ReleaseObject(
        Generation generation,
        String note,
        ImmutableSet<VmId> drained,
        WriteToken token,
        ImmutableList<WriteToken> writers) {
    /** Writers' tokens that are kept. */
    public static final int MAX_WRITERS = 16;

    /**
     * Parses the note.
     *
     * @return what a daemon acts on
     * @throws MalformedMessageException if the note is not valid, with all its problems
     */
    public AcceptedRelease release() throws MalformedMessageException {
        return switch (ReleaseNoteReader.read(note)) {
            case ReadResult.Valid<ReleaseNote>(ReleaseNote valid) -> new AcceptedRelease(generation, valid, drained);
            case ReadResult.Invalid<ReleaseNote>(ImmutableList<SettingProblem> problems) ->
                throw new MalformedMessageException(
                        "the release note is not valid: " + Joiner.on("; ").join(problems));
        };
    }

    /**
     * Returns the object of the next acceptance.
     *
     * @param nextNote its note as INI text
     * @param nextDrained VMs that are drained from then on
     * @param nextToken token of the write
     * @return the object with the generation raised by one and the token added to the writers
     */
    public ReleaseObject next(String nextNote, ImmutableSet<VmId> nextDrained, WriteToken nextToken) {
        ImmutableList<WriteToken> all = ImmutableList.<WriteToken>builder()
                .add(nextToken)
                .addAll(writers)
                .build();
        ImmutableList<WriteToken> kept = all.subList(0, Math.min(MAX_WRITERS, all.size()));
        return new ReleaseObject(generation.next(), nextNote, nextDrained, nextToken, kept);
    }

    /**
     * Returns the object of the first acceptance.
     *
     * @param note its note as INI text
     * @param token token of the write
     * @return the object of generation 1
     */
    public static ReleaseObject first(String note, WriteToken token) {
        return new ReleaseObject(Generation.NONE.next(), note, ImmutableSet.of(), token, ImmutableList.of(token));
    }
}
