package io.sesamehead.daemon.protocol;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.store.ReadBackObject;
import io.sesamehead.state.WriteToken;
import java.util.Optional;

/** Reads the write tokens in stored objects. */
public final class WriteTokens {
    static final String TOKEN = "token";
    static final String WRITERS = "writers";

    private WriteTokens() {}

    /**
     * Extracts the version and write tokens of an object that was read back to determine whether a write whose response
     * was lost took effect.
     *
     * @param object the object
     * @return its version and write tokens
     * @throws MalformedMessageException if a token is malformed
     */
    public static ReadBackObject readBack(PlatformObject object) throws MalformedMessageException {
        JsonFields spec = JsonFields.of(object.spec());
        Optional<String> token = spec.optionalText(TOKEN);
        return new ReadBackObject(
                object.resourceVersion(),
                token.isPresent() ? Optional.of(parse(token.get())) : Optional.empty(),
                history(spec));
    }

    static WriteToken parse(String text) throws MalformedMessageException {
        try {
            return WriteToken.parse(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("invalid write token: " + text);
        }
    }

    static ImmutableList<WriteToken> history(JsonFields spec) throws MalformedMessageException {
        ImmutableList.Builder<WriteToken> result = ImmutableList.builder();
        for (String text : spec.texts(WRITERS)) {
            result.add(parse(text));
        }
        return result.build();
    }
}
