package io.sesamehead.daemon.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.coordination.store.ReadBackObject;
import io.sesamehead.coordination.store.WriteResolution;
import io.sesamehead.coordination.store.WriteResolver;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.protocol.WriteTokens;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.WriteToken;
import java.util.Optional;
import java.util.function.Function;
import org.tinylog.Logger;

/** Writes to the store conditionally, with a unique token per write. A lost answer is resolved by reading back. */
public final class StoreWriter {
    /** Maximum number of attempts to read an object back before the outcome is reported as unknown. */
    private static final int MAX_READ_BACKS = 3;

    private final PlatformClient platform;
    private final WriteTokenSource tokens;

    /** Outcome of a write. */
    public sealed interface Outcome {
        /**
         * The write was accepted.
         *
         * @param object the object as stored
         */
        record Accepted(PlatformObject object) implements Outcome {}

        /** Another write preceded or replaced this one; the object must be read again. */
        record Superseded() implements Outcome {}

        /**
         * The write had no effect.
         *
         * @param detail the cause, for the log
         */
        record NotWritten(String detail) implements Outcome {}

        /**
         * The write may have taken effect or may still do so.
         *
         * @param detail why the outcome is unknown, for the log
         */
        record Unknown(String detail) implements Outcome {}
    }

    /**
     * Creates a writer.
     *
     * @param platform the store
     * @param tokens source of the write tokens of this process
     */
    public StoreWriter(PlatformClient platform, WriteTokenSource tokens) {
        this.platform = platform;
        this.tokens = tokens;
    }

    /**
     * Creates or updates an object. The write itself is not retried.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @param baseVersion version to replace, or empty to create the object
     * @param spec builds the content with the token of the write
     * @return the outcome of the write
     */
    public Outcome write(
            String kind, String name, Optional<String> baseVersion, Function<WriteToken, ? extends JsonNode> spec) {
        WriteToken token = tokens.next();
        JsonNode content = spec.apply(token);
        StoreResult<PlatformObject> result = baseVersion.isEmpty()
                ? platform.create(kind, name, content)
                : platform.update(new PlatformObject(kind, name, baseVersion.get(), content));
        return switch (result) {
            case StoreResult.Ok<PlatformObject>(PlatformObject stored) -> new Outcome.Accepted(stored);
            case StoreResult.Conflict<PlatformObject>() -> new Outcome.Superseded();
            case StoreResult.AlreadyExists<PlatformObject>() -> new Outcome.Superseded();
            case StoreResult.NotFound<PlatformObject>() -> new Outcome.Superseded();
            case StoreResult.RateLimited<PlatformObject>(var after) -> new Outcome.NotWritten("rate limit");
            case StoreResult.Unavailable<PlatformObject>(String detail) -> new Outcome.NotWritten(detail);
            case StoreResult.Rejected<PlatformObject>(String detail) -> new Outcome.NotWritten(detail);
            case StoreResult.Ambiguous<PlatformObject>(String detail) -> {
                Logger.info("store: lost the answer to the write of {}/{}: {}", kind, name, detail);
                yield resolve(kind, name, baseVersion, token);
            }
        };
    }

    private Outcome resolve(String kind, String name, Optional<String> baseVersion, WriteToken token) {
        for (int attempt = 0; attempt < MAX_READ_BACKS; attempt++) {
            switch (platform.read(kind, name)) {
                case StoreResult.Ok<PlatformObject>(PlatformObject object) -> {
                    return outcome(token, baseVersion, Optional.of(object));
                }
                case StoreResult.NotFound<PlatformObject>() -> {
                    return outcome(token, baseVersion, Optional.empty());
                }
                default -> Logger.debug("store: cannot read back {}/{}", kind, name);
            }
        }
        return new Outcome.Unknown("the object could not be read back");
    }

    private static Outcome outcome(WriteToken token, Optional<String> baseVersion, Optional<PlatformObject> object) {
        Optional<ReadBackObject> read;
        try {
            read = object.isPresent() ? Optional.of(WriteTokens.readBack(object.get())) : Optional.empty();
        } catch (MalformedMessageException e) {
            return new Outcome.Unknown(e.getMessage());
        }
        WriteResolution resolution = WriteResolver.resolve(token, baseVersion, read);
        Logger.info("store: write with token {} resolved as {}", token, resolution);
        return switch (resolution) {
            case WriteResolution.Accepted accepted -> new Outcome.Accepted(object.orElseThrow());
            case WriteResolution.Refused refused -> new Outcome.Superseded();
            case WriteResolution.SupersededAfterAcceptance superseded -> new Outcome.Superseded();
            case WriteResolution.NotApplied notApplied -> new Outcome.Unknown("the write may still be applied");
            case WriteResolution.Unknown unknown ->
                new Outcome.Unknown("the stored object does not show whether the write was applied");
        };
    }
}
