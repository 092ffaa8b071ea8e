package io.sesamehead.coordination.request;

/**
 * Tracks the position in one caller's token stream across all attempts, so that each index is delivered exactly once
 * and in order. Not thread-safe: the frames of a stream are handled one at a time.
 */
public final class StreamSequence {
    private int next;
    private boolean complete;

    /** Action for a received token. */
    public enum TokenVerdict {
        /** Deliver the token to the caller. */
        DELIVER,
        /** Drop the token, which was already delivered. */
        DUPLICATE,
        /** Tokens before this one are missing, or the stream has ended: abandon the attempt and resume. */
        GAP
    }

    /** Meaning of an end marker. */
    public enum EndVerdict {
        /** All tokens were delivered. */
        COMPLETE,
        /** The marker counts more tokens than were delivered: abandon the attempt and resume. */
        MISSING,
        /** The marker counts fewer tokens than were delivered: the answers of the attempts differ. */
        CONTRADICTION
    }

    /**
     * Processes a received token.
     *
     * @param index position of the token, starting at 0
     * @return the verdict
     */
    public TokenVerdict accept(int index) {
        if (index < next) {
            return TokenVerdict.DUPLICATE;
        }
        if (index > next || complete) {
            return TokenVerdict.GAP;
        }
        next++;
        return TokenVerdict.DELIVER;
    }

    /**
     * Processes the end marker.
     *
     * @param count number of tokens in the complete answer
     * @return the verdict
     */
    public EndVerdict end(int count) {
        if (count > next) {
            return EndVerdict.MISSING;
        }
        if (count < next) {
            return EndVerdict.CONTRADICTION;
        }
        complete = true;
        return EndVerdict.COMPLETE;
    }

    /**
     * Returns the index at which an attempt resumes.
     *
     * @return the number of tokens delivered
     */
    public int nextIndex() {
        return next;
    }

    /**
     * Returns whether the end marker's count matched the number of delivered tokens.
     *
     * @return true if the stream is complete
     */
    public boolean isComplete() {
        return complete;
    }
}
