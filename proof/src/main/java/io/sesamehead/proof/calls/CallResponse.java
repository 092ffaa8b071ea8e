package io.sesamehead.proof.calls;

import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Outcome;
import io.sesamehead.state.RunState;

/**
 * Final answer to a call.
 *
 * @param outcome what it says about execution
 * @param body answer of a plain service, empty for streams and errors
 */
record CallResponse(Outcome outcome, String body) {
    static CallResponse error(ErrorKind kind) {
        return new CallResponse(Outcome.of(kind, ""), "");
    }

    boolean complete() {
        return outcome instanceof Outcome.Ran;
    }

    RunState runState() {
        return switch (outcome) {
            case Outcome.Ran ignored -> RunState.RAN;
            case Outcome.RanWithError ignored -> RunState.RAN;
            case Outcome.NotRun ignored -> RunState.NOT_RUN;
            case Outcome.MayHaveRun ignored -> RunState.MAY_HAVE_RUN;
        };
    }

    boolean hasKind(ErrorKind kind) {
        return switch (outcome) {
            case Outcome.Ran ignored -> false;
            case Outcome.RanWithError error -> error.kind() == kind;
            case Outcome.NotRun error -> error.kind() == kind;
            case Outcome.MayHaveRun error -> error.kind() == kind;
        };
    }
}
