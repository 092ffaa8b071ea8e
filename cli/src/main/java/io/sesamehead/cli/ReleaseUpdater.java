package io.sesamehead.cli;

import io.sesamehead.cli.operator.AcceptedRelease;
import io.sesamehead.cli.operator.ReleaseWriter;
import io.sesamehead.cli.operator.WriteOutcome;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.settings.ReleaseNoteReader;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.state.Generation;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.WriteToken;
import java.security.SecureRandom;
import java.util.Optional;

/**
 * Updates the accepted release for {@code apply} and {@code drain} with one conditional write, and reports its failures
 * to the operator.
 */
final class ReleaseUpdater {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final String ACCEPTED_NAME = "accepted note";

    private final ReleaseWriter writer;

    ReleaseUpdater(PlatformClient platform) {
        this.writer = new ReleaseWriter(platform, PlatformOptions::nowMillis, TIMEOUT_MILLIS);
    }

    AcceptedRelease read() throws CommandException {
        try {
            return writer.read();
        } catch (ReleaseWriter.ReadException e) {
            throw new CommandException(ExitCode.FAILED, e.getMessage());
        }
    }

    static Optional<ReleaseNote> note(AcceptedRelease accepted) throws CommandException {
        if (accepted.release().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                TextFileReader.parse(ACCEPTED_NAME, accepted.release().get().note(), ReleaseNoteReader::read));
    }

    static WriteToken newToken() {
        return new WriteToken(new Incarnation(new SecureRandom().nextLong()), 1);
    }

    /**
     * Writes the next release. Throws an exception with the matching exit code for any outcome other than acceptance.
     */
    WriteOutcome.Accepted write(AcceptedRelease base, ReleaseObject next)
            throws CommandException, InterruptedException {
        return switch (writer.write(base, next)) {
            case WriteOutcome.Accepted accepted -> accepted;
            case WriteOutcome.Conflict(Generation changeBase, Optional<Generation> current) ->
                throw conflict(changeBase, current);
            case WriteOutcome.NotAccepted(String detail) ->
                throw new CommandException(ExitCode.FAILED, "the change was not accepted: " + detail);
            case WriteOutcome.Unknown(String detail) ->
                throw new CommandException(
                        ExitCode.NOT_KNOWN,
                        "it is not known whether the change was accepted: " + detail
                                + "; look at `sesamehead status` before you repeat it");
        };
    }

    static CommandException conflict(Generation base, Optional<Generation> current) {
        String inForce =
                current.map(generation -> "generation " + generation.value()).orElse("another generation");
        return new CommandException(
                ExitCode.CONFLICT,
                "conflict: this change was made on generation " + base.value() + ", but " + inForce
                        + " is in force; look at `sesamehead apply --dry-run` and apply again");
    }
}
