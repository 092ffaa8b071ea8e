package io.sesamehead.state;

import java.util.Objects;

/** Outcome of a request. The variant states to the caller whether the request was executed. */
public sealed interface Outcome {
    /**
     * The request was not executed by any upstream.
     *
     * @param kind an error kind whose run state is not-run
     * @param detail a sentence for the caller
     */
    record NotRun(ErrorKind kind, String detail) implements Outcome {
        /** Rejects kinds with a run state other than not-run. */
        public NotRun {
            requireState(kind, RunState.NOT_RUN);
        }
    }

    /** The request was executed, and the complete answer of the upstream was delivered or recorded. */
    record Ran() implements Outcome {}

    /**
     * The request was executed, and the upstream answered with an error.
     *
     * @param kind an error kind whose run state is ran
     * @param detail a sentence for the caller
     */
    record RanWithError(ErrorKind kind, String detail) implements Outcome {
        /** Rejects kinds with a run state other than ran. */
        public RanWithError {
            requireState(kind, RunState.RAN);
        }
    }

    /**
     * It is unknown whether the request was executed.
     *
     * @param kind an error kind whose run state is may-have-run
     * @param detail a sentence for the caller
     */
    record MayHaveRun(ErrorKind kind, String detail) implements Outcome {
        /** Rejects kinds with a run state other than may-have-run. */
        public MayHaveRun {
            requireState(kind, RunState.MAY_HAVE_RUN);
        }
    }

    /**
     * Returns the outcome variant for the run state of an error kind.
     *
     * @param kind the error kind
     * @param detail a sentence for the caller
     * @return the outcome
     */
    static Outcome of(ErrorKind kind, String detail) {
        return switch (kind.runState()) {
            case NOT_RUN -> new NotRun(kind, detail);
            case RAN -> new RanWithError(kind, detail);
            case MAY_HAVE_RUN -> new MayHaveRun(kind, detail);
        };
    }

    private static void requireState(ErrorKind kind, RunState expected) {
        Objects.requireNonNull(kind, "kind");
        if (kind.runState() != expected) {
            throw new IllegalArgumentException(kind + " does not have the run state " + expected.wireName());
        }
    }
}
