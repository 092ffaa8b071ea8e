package io.sesamehead.daemon.protocol;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.store.ReadBackObject;
import io.sesamehead.state.WriteToken;
import java.util.Optional;

/** Write tokens in stored objects. */
public final class WriteTokens {
    static final String TOKEN = "token";
    static final String WRITERS = "writers";

    private WriteTokens() {}

    /**
     * Returns what the resolution of a lost answer needs of an object that was read back.
     *
     * @param object the object
     * @return its version and tokens
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
            throw new MalformedMessageException("not a write token: " + text);
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
