package io.sesamehead.coordination.dispatch;

import java.util.Objects;

/**
 * A part of a prompt that several requests may have in common, such as a system prompt.
 *
 * @param id the part's id, not blank
 */
public record PromptPart(String id) {
    /** Rejects blank ids. */
    public PromptPart {
        Objects.requireNonNull(id, "id");
        if (id.isBlank()) {
            throw new IllegalArgumentException("PromptPart must not be blank");
        }
    }

    @Override
    public String toString() {
        return id;
    }
}
