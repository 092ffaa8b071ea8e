package io.sesamehead.cli.operator;

import io.sesamehead.coordination.store.ReadBackObject;
import io.sesamehead.coordination.store.WriteResolution;
import io.sesamehead.coordination.store.WriteResolver;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.protocol.ReleaseCodec;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.protocol.WriteTokens;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Reads the accepted release and replaces it with one conditional write that carries a token. */
public final class ReleaseWriter {
    private static final long PAUSE_MILLIS = 200;

    private final PlatformClient platform;
    private final LongSupplier nowMillis;
    private final long timeoutMillis;

    /**
     * Creates a writer.
     *
     * @param platform client of the object API
     * @param nowMillis monotonic clock
     * @param timeoutMillis time allowed for a change, with the reads that resolve a lost answer
     */
    public ReleaseWriter(PlatformClient platform, LongSupplier nowMillis, long timeoutMillis) {
        this.platform = platform;
        this.nowMillis = nowMillis;
        this.timeoutMillis = timeoutMillis;
    }

    /** The platform could not be read. */
    public static final class ReadException extends Exception {
        private static final long serialVersionUID = 1L;

        /**
         * Creates a failure.
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
     * @return the release and its version
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
            case StoreResult.Conflict<PlatformObject> odd -> throw unexpected();
            case StoreResult.AlreadyExists<PlatformObject> odd -> throw unexpected();
            case StoreResult.Ambiguous<PlatformObject> odd -> throw unexpected();
        };
    }

    /**
     * Writes the next release on the condition that the release read before is still the accepted one.
     *
     * @param base the release that the change was made on
     * @param next content of the change; its token is new
     * @return how the change ended
     * @throws InterruptedException if the process is being stopped
     */
    public WriteOutcome write(AcceptedRelease base, ReleaseObject next) throws InterruptedException {
        long deadlineMillis = nowMillis.getAsLong() + timeoutMillis;
        boolean mayHaveLanded = false;
        while (true) {
            StoreResult<PlatformObject> sent = send(base, next);
            mayHaveLanded |= sent instanceof StoreResult.Ambiguous;
            Optional<WriteOutcome> end = endWithoutReading(sent, next, mayHaveLanded);
            if (end.isPresent()) {
                return end.get();
            }
            end = sent instanceof StoreResult.RateLimited ? Optional.empty() : readBack(base, next, deadlineMillis);
            if (end.isPresent()) {
                return mayHaveLanded ? end.get() : certainConflict(base, end.get());
            }
            if (nowMillis.getAsLong() > deadlineMillis) {
                return mayHaveLanded
                        ? new WriteOutcome.Unknown("the answer to the write was lost and the write may still arrive")
                        : new WriteOutcome.NotAccepted("the platform's rate limit is reached; try again later");
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    private StoreResult<PlatformObject> send(AcceptedRelease base, ReleaseObject next) {
        return base.object().isPresent()
                ? platform.update(base.object().get().withSpec(ReleaseCodec.encode(next)))
                : platform.create(ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE, ReleaseCodec.encode(next));
    }

    /** Ends the change where the answer alone tells what became of it. */
    private static Optional<WriteOutcome> endWithoutReading(
            StoreResult<PlatformObject> sent, ReleaseObject next, boolean mayHaveLanded) {
        return switch (sent) {
            case StoreResult.Ok<PlatformObject> ok ->
                Optional.of(new WriteOutcome.Accepted(next.generation(), next.generation()));
            case StoreResult.Unavailable<PlatformObject>(String detail)
            when !mayHaveLanded -> Optional.of(new WriteOutcome.NotAccepted("the platform does not answer: " + detail));
            case StoreResult.Rejected<PlatformObject>(String detail)
            when !mayHaveLanded -> Optional.of(new WriteOutcome.NotAccepted("the platform refused the write: " + detail));
            default -> Optional.empty();
        };
    }

    /** Looks for the write's token; empty when the same write is to be sent again. */
    private Optional<WriteOutcome> readBack(AcceptedRelease base, ReleaseObject next, long deadlineMillis)
            throws InterruptedException {
        String failure = "";
        do {
            try {
                return resolve(base, next, read());
            } catch (ReadException e) {
                failure = e.getMessage();
                Thread.sleep(PAUSE_MILLIS);
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
                // The conditional write names one base, so a generation right after it with another token is a refusal.
                Optional.of(
                        read.generation().equals(next.generation())
                                ? new WriteOutcome.Conflict(base.generation(), Optional.of(read.generation()))
                                : new WriteOutcome.Unknown(
                                        "generation " + read.generation().value()
                                                + " is in force and does not tell whether this change was among its"
                                                + " predecessors"));
        };
    }

    /** Without a lost answer the platform's own refusal is certain, whatever the object tells afterwards. */
    private static WriteOutcome certainConflict(AcceptedRelease base, WriteOutcome end) {
        return end instanceof WriteOutcome.Unknown ? new WriteOutcome.Conflict(base.generation(), Optional.empty()) : end;
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
