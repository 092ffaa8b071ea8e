package io.sesamehead.daemon.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.transport.CallResponse;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.RunState;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/** Answers of keyed calls as they are recorded in {@code orders} objects, and back. */
final class RecordedResponseCodec {
    /** The object API holds values up to 1 MB; the rest of the object and JSON escapes need room. */
    private static final int MAX_BODY_CHARACTERS = 400_000;

    private static final int OK = 200;
    private static final String COMPLETION = "application/vnd.sesamehead.completion+json";
    private static final String ERROR = "application/vnd.sesamehead.error+json";

    private RecordedResponseCodec() {}

    /**
     * Encodes an answer.
     *
     * @param response the answer
     * @param epochMillis wall-clock time, in milliseconds since 1970
     * @return the result, or empty when it is too large or not text, so that the key stays claimed
     */
    static Optional<IdempotencyRecord.Result> encode(CallResponse response, long epochMillis) {
        Optional<IdempotencyRecord.Result> result = switch (response) {
            case CallResponse.Completed completed ->
                Optional.of(result(RunState.RAN, OK, COMPLETION, tokens(completed), epochMillis));
            case CallResponse.Body(int status, String contentType, byte[] body) ->
                text(body).map(text -> result(RunState.RAN, status, contentType, text, epochMillis));
            case CallResponse.Failed(ErrorKind kind, String detail, OptionalLong retry) ->
                Optional.of(result(kind.runState(), 0, ERROR, error(kind, detail), epochMillis));
        };
        return result.filter(encoded -> encoded.body().length() <= MAX_BODY_CHARACTERS);
    }

    /**
     * Decodes a recorded result.
     *
     * @param result the result
     * @return the answer
     */
    static CallResponse decode(IdempotencyRecord.Result result) {
        try {
            return switch (result.contentType()) {
                case COMPLETION -> completion(Json.parse(result.body()));
                case ERROR -> failed(Json.parse(result.body()));
                default ->
                    new CallResponse.Body(
                            result.status(), result.contentType(), result.body().getBytes(StandardCharsets.UTF_8));
            };
        } catch (MalformedMessageException e) {
            return new CallResponse.Failed(
                    ErrorKind.CLAIMED_ELSEWHERE, "the recorded answer is unreadable", OptionalLong.empty());
        }
    }

    private static IdempotencyRecord.Result result(
            RunState state, int status, String contentType, String body, long epochMillis) {
        return new IdempotencyRecord.Result(state, status, contentType, body, epochMillis);
    }

    private static String tokens(CallResponse.Completed completed) {
        ObjectNode tree = Json.object().put("finish", completed.finish());
        ArrayNode tokens = tree.putArray("tokens");
        completed.tokens().forEach(tokens::add);
        return tree.toString();
    }

    private static CallResponse completion(JsonNode tree) {
        ImmutableList.Builder<String> tokens = ImmutableList.builder();
        tree.path("tokens").forEach(token -> tokens.add(token.asText()));
        ImmutableList<String> all = tokens.build();
        return new CallResponse.Completed(all.size(), tree.path("finish").asText(), all);
    }

    private static String error(ErrorKind kind, String detail) {
        return Json.object().put("kind", kind.name()).put("detail", detail).toString();
    }

    private static CallResponse failed(JsonNode tree) throws MalformedMessageException {
        try {
            ErrorKind kind = ErrorKind.valueOf(tree.path("kind").asText());
            return new CallResponse.Failed(kind, tree.path("detail").asText(), OptionalLong.empty());
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("unknown error kind");
        }
    }

    private static Optional<String> text(byte[] body) {
        try {
            return Optional.of(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body))
                    .toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }
}
