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

/** Conditional writes to the store, each with a token of its own; a lost answer is resolved by reading back. */
public final class StoreWriter {
    /** Attempts to read an object back before the outcome is left open. */
    private static final int READ_BACKS = 3;

    private final PlatformClient platform;
    private final WriteTokenSource tokens;

    /** What became of a write. */
    public sealed interface Outcome {
        /**
         * The object holds this write.
         *
         * @param object the object as stored
         */
        record Accepted(PlatformObject object) implements Outcome {}

        /** Another write came first, or replaced this one; the object is to be read again. */
        record Superseded() implements Outcome {}

        /**
         * The write took no effect.
         *
         * @param detail a sentence for the log
         */
        record NotWritten(String detail) implements Outcome {}

        /**
         * The write may have taken effect or may still do so.
         *
         * @param detail a sentence for the log
         */
        record Unknown(String detail) implements Outcome {}
    }

    /**
     * Creates a writer.
     *
     * @param platform the store
     * @param tokens tokens of this process
     */
    public StoreWriter(PlatformClient platform, WriteTokenSource tokens) {
        this.platform = platform;
        this.tokens = tokens;
    }

    /**
     * Writes an object once.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @param baseVersion version that is replaced, or empty to create the object
     * @param spec builds the content for the token of the write
     * @return what became of the write
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
                Logger.info("store: the answer to a write of {}/{} was lost: {}", kind, name, detail);
                yield resolve(kind, name, baseVersion, token);
            }
        };
    }

    private Outcome resolve(String kind, String name, Optional<String> baseVersion, WriteToken token) {
        for (int attempt = 0; attempt < READ_BACKS; attempt++) {
            switch (platform.read(kind, name)) {
                case StoreResult.Ok<PlatformObject>(PlatformObject object) -> {
                    return resolved(token, baseVersion, Optional.of(object));
                }
                case StoreResult.NotFound<PlatformObject>() -> {
                    return resolved(token, baseVersion, Optional.empty());
                }
                default -> Logger.debug("store: {}/{} could not be read back yet", kind, name);
            }
        }
        return new Outcome.Unknown("the object could not be read back");
    }

    private static Outcome resolved(WriteToken token, Optional<String> baseVersion, Optional<PlatformObject> object) {
        Optional<ReadBackObject> read;
        try {
            read = object.isPresent() ? Optional.of(WriteTokens.readBack(object.get())) : Optional.empty();
        } catch (MalformedMessageException e) {
            return new Outcome.Unknown(e.getMessage());
        }
        WriteResolution resolution = WriteResolver.resolve(token, baseVersion, read);
        Logger.info("store: the write with token {} was resolved as {}", token, resolution);
        return switch (resolution) {
            case WriteResolution.Accepted accepted -> new Outcome.Accepted(object.orElseThrow());
            case WriteResolution.Refused refused -> new Outcome.Superseded();
            case WriteResolution.SupersededAfterAcceptance superseded -> new Outcome.Superseded();
            case WriteResolution.NotApplied notApplied -> new Outcome.Unknown("the write can still arrive");
            case WriteResolution.Unknown unknown -> new Outcome.Unknown("the object does not tell");
        };
    }
}
