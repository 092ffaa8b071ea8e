package io.sesamehead.cli.operator;

import io.sesamehead.coordination.store.ReadBackObject;
import io.sesamehead.coordination.store.WriteResolution;
import io.sesamehead.coordination.store.WriteResolver;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.protocol.ReleaseCodec;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.protocol.WriteTokens;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Reads the accepted release and replaces it with a single conditional write that carries a write token. */
public final class ReleaseWriter {
    private static final long RETRY_DELAY_MILLIS = 200;

    private final PlatformClient platform;
    private final LongSupplier nowMillis;
    private final long timeoutMillis;

    /**
     * Creates a writer.
     *
     * @param platform client of the object API
     * @param nowMillis monotonic clock in milliseconds
     * @param timeoutMillis time limit of a change in milliseconds, including the reads that resolve a lost answer
     */
    public ReleaseWriter(PlatformClient platform, LongSupplier nowMillis, long timeoutMillis) {
        this.platform = platform;
        this.nowMillis = nowMillis;
        this.timeoutMillis = timeoutMillis;
    }

    /** Thrown when the platform cannot be read. */
    public static final class ReadException extends Exception {
        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception.
         *
         * @param message the cause, for the operator
         */
        public ReadException(String message) {
            super(message);
        }
    }

    /**
     * Reads the accepted release.
     *
     * @return the release and its stored object
     * @throws ReadException if the platform does not answer or the object cannot be read
     */
    public AcceptedRelease read() throws ReadException {
        return switch (platform.read(ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE)) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) -> state(object);
            case StoreResult.NotFound<PlatformObject> missing -> AcceptedRelease.NONE;
            case StoreResult.Unavailable<PlatformObject>(String detail) ->
                throw new ReadException("the platform does not answer: " + detail);
            case StoreResult.RateLimited<PlatformObject> limited ->
                throw new ReadException("the platform's rate limit is reached; try again later");
            case StoreResult.Rejected<PlatformObject>(String detail) ->
                throw new ReadException("the platform refused the read: " + detail);
            case StoreResult.Conflict<PlatformObject> unexpected -> throw unexpected();
            case StoreResult.AlreadyExists<PlatformObject> unexpected -> throw unexpected();
            case StoreResult.Ambiguous<PlatformObject> unexpected -> throw unexpected();
        };
    }

    /**
     * Writes the next release, provided that the base release is still the accepted one.
     *
     * @param base the release on which the change is based
     * @param next the changed release, with a new write token
     * @return the outcome of the change
     * @throws InterruptedException if the process is being stopped
     */
    public WriteOutcome write(AcceptedRelease base, ReleaseObject next) throws InterruptedException {
        long deadlineMillis = nowMillis.getAsLong() + timeoutMillis;
        boolean mayHaveBeenApplied = false;
        while (true) {
            StoreResult<PlatformObject> result = send(base, next);
            mayHaveBeenApplied |= result instanceof StoreResult.Ambiguous;
            Optional<WriteOutcome> outcome = outcomeFromAnswer(result, next, mayHaveBeenApplied);
            if (outcome.isPresent()) {
                return outcome.get();
            }
            outcome =
                    result instanceof StoreResult.RateLimited ? Optional.empty() : readBack(base, next, deadlineMillis);
            if (outcome.isPresent()) {
                return mayHaveBeenApplied ? outcome.get() : unknownToConflict(base, outcome.get());
            }
            if (nowMillis.getAsLong() > deadlineMillis) {
                return mayHaveBeenApplied
                        ? new WriteOutcome.Unknown("the answer to the write was lost and the write may still arrive")
                        : new WriteOutcome.NotAccepted("the platform's rate limit is reached; try again later");
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    private StoreResult<PlatformObject> send(AcceptedRelease base, ReleaseObject next) {
        return base.object().isPresent()
                ? platform.update(base.object().get().withSpec(ReleaseCodec.encode(next)))
                : platform.create(ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE, ReleaseCodec.encode(next));
    }

    /** Returns the outcome if the answer to the write alone determines it. */
    private static Optional<WriteOutcome> outcomeFromAnswer(
            StoreResult<PlatformObject> result, ReleaseObject next, boolean mayHaveBeenApplied) {
        return switch (result) {
            case StoreResult.Ok<PlatformObject> ok ->
                Optional.of(new WriteOutcome.Accepted(next.generation(), next.generation()));
            case StoreResult.Unavailable<PlatformObject>(String detail)
            when !mayHaveBeenApplied ->
                Optional.of(new WriteOutcome.NotAccepted("the platform does not answer: " + detail));
            case StoreResult.Rejected<PlatformObject>(String detail)
            when !mayHaveBeenApplied ->
                Optional.of(new WriteOutcome.NotAccepted("the platform refused the write: " + detail));
            default -> Optional.empty();
        };
    }

    /**
     * Reads the release back and looks for the token of the write; empty if the write was not applied and must be sent
     * again.
     */
    private Optional<WriteOutcome> readBack(AcceptedRelease base, ReleaseObject next, long deadlineMillis)
            throws InterruptedException {
        String failure = "";
        do {
            try {
                return resolve(base, next, read());
            } catch (ReadException e) {
                failure = e.getMessage();
                Thread.sleep(RETRY_DELAY_MILLIS);
            }
        } while (nowMillis.getAsLong() <= deadlineMillis);
        return Optional.of(
                new WriteOutcome.Unknown("the answer to the write was lost and it cannot be read back: " + failure));
    }

    private static Optional<WriteOutcome> resolve(AcceptedRelease base, ReleaseObject next, AcceptedRelease read) {
        Optional<String> baseVersion = base.object().map(PlatformObject::resourceVersion);
        WriteResolution resolution =
                WriteResolver.resolve(next.token(), baseVersion, read.object().map(ReleaseWriter::tokens));
        return switch (resolution) {
            case WriteResolution.Accepted accepted ->
                Optional.of(new WriteOutcome.Accepted(next.generation(), read.generation()));
            case WriteResolution.SupersededAfterAcceptance superseded ->
                Optional.of(new WriteOutcome.Accepted(next.generation(), read.generation()));
            case WriteResolution.Refused refused ->
                Optional.of(new WriteOutcome.Conflict(base.generation(), Optional.of(read.generation())));
            case WriteResolution.NotApplied notApplied -> Optional.empty();
            case WriteResolution.Unknown unknown ->
                // The write is conditional on its base, so another token in the next generation means that it was
                // refused.
                Optional.of(
                        read.generation().equals(next.generation())
                                ? new WriteOutcome.Conflict(base.generation(), Optional.of(read.generation()))
                                : new WriteOutcome.Unknown(
                                        "generation " + read.generation().value()
                                                + " is in force and does not tell whether this change was among its"
                                                + " predecessors"));
        };
    }

    /** If no answer was lost, the refusal by the platform is certain, even if the stored object does not show it. */
    private static WriteOutcome unknownToConflict(AcceptedRelease base, WriteOutcome outcome) {
        return outcome instanceof WriteOutcome.Unknown
                ? new WriteOutcome.Conflict(base.generation(), Optional.empty())
                : outcome;
    }

    private static ReadBackObject tokens(PlatformObject object) {
        try {
            return WriteTokens.readBack(object);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException("read() has decoded the tokens before", e);
        }
    }

    private static AcceptedRelease state(PlatformObject object) throws ReadException {
        try {
            return new AcceptedRelease(Optional.of(object), Optional.of(ReleaseCodec.decode(object.spec())));
        } catch (MalformedMessageException e) {
            throw new ReadException("the stored release cannot be read: " + e.getMessage());
        }
    }

    private static ReadException unexpected() {
        return new ReadException("the platform answered a read as if it were a write");
    }
}
