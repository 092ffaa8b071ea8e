package io.sesamehead.cli;

import io.sesamehead.cli.operator.AcceptedState;
import io.sesamehead.cli.operator.ReleaseWriter;
import io.sesamehead.cli.operator.WriteEnd;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.settings.ReleaseNoteReader;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.state.Generation;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.WriteToken;
import java.security.SecureRandom;
import java.util.Optional;

/** What {@code apply} and {@code drain} have in common: one conditional write, and the words about its end. */
final class ReleaseChange {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final String ACCEPTED_NAME = "accepted note";

    private final ReleaseWriter writer;

    ReleaseChange(PlatformClient platform) {
        this.writer = new ReleaseWriter(platform, PlatformOptions::nowMillis, TIMEOUT_MILLIS);
    }

    AcceptedState read() throws CommandFailure {
        try {
            return writer.read();
        } catch (ReleaseWriter.ReadFailure e) {
            throw new CommandFailure(ExitCode.FAILED, e.getMessage());
        }
    }

    static Optional<ReleaseNote> note(AcceptedState accepted) throws CommandFailure {
        if (accepted.release().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                TextFile.valid(ACCEPTED_NAME, accepted.release().get().note(), ReleaseNoteReader::read));
    }

    static WriteToken newToken() {
        return new WriteToken(new Incarnation(new SecureRandom().nextLong()), 1);
    }

    /** Writes; any end but acceptance becomes an error with the exit code of its kind. */
    WriteEnd.Accepted write(AcceptedState base, ReleaseObject next) throws CommandFailure, InterruptedException {
        return switch (writer.write(base, next)) {
            case WriteEnd.Accepted accepted -> accepted;
            case WriteEnd.Conflict(Generation on, Optional<Generation> current) -> throw conflict(on, current);
            case WriteEnd.NotAccepted(String detail) ->
                throw new CommandFailure(ExitCode.FAILED, "the change was not accepted: " + detail);
            case WriteEnd.NotKnown(String detail) ->
                throw new CommandFailure(
                        ExitCode.NOT_KNOWN,
                        "it is not known whether the change was accepted: " + detail
                                + "; look at `sesamehead status` before you repeat it");
        };
    }

    static CommandFailure conflict(Generation base, Optional<Generation> current) {
        String inForce =
                current.map(generation -> "generation " + generation.value()).orElse("another generation");
        return new CommandFailure(
                ExitCode.CONFLICT,
                "conflict: this change was made on generation " + base.value() + ", but " + inForce
                        + " is in force; look at `sesamehead apply --dry-run` and apply again");
    }
}
