package io.sesamehead.coordination.request;

/**
 * Positions of one caller's token stream across all attempts. Each index is delivered exactly once and in order. Not
 * thread-safe: the frames of a stream are handled one at a time.
 */
public final class StreamSequence {
    private int next;
    private boolean complete;

    /** What to do with a token. */
    public enum TokenVerdict {
        /** Deliver the token to the caller. */
        DELIVER,
        /** Drop the token: it was delivered before. */
        DUPLICATE,
        /** Tokens are missing before this one, or the stream has ended: give up the attempt and resume. */
        GAP
    }

    /** What an end marker means. */
    public enum EndVerdict {
        /** All tokens were delivered. */
        COMPLETE,
        /** The marker counts more tokens than were delivered: give up the attempt and resume. */
        MISSING,
        /** The marker counts fewer tokens than were delivered: the answers of the attempts differ. */
        CONTRADICTION
    }

    /**
     * Takes one token.
     *
     * @param index position of the token, from 0
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
     * Takes the end marker.
     *
     * @param count tokens of the whole answer
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
     * Returns the position from which an attempt resumes.
     *
     * @return the number of tokens delivered
     */
    public int nextIndex() {
        return next;
    }

    /**
     * Tells whether the end marker's count equalled the tokens delivered.
     *
     * @return true when the stream is complete
     */
    public boolean isComplete() {
        return complete;
    }
}
