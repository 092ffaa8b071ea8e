package io.sesamehead.proof.calls;

import io.sesamehead.state.AttemptId;
import io.sesamehead.state.Incarnation;

/**
 * A part of an upstream's answer on its way to a daemon.
 *
 * @param attempt the attempt that it belongs to
 * @param connection the connection on which it was sent
 * @param channel number of the stream on the connection; numbers of ended streams are used again
 * @param content the content
 */
record Frame(AttemptId attempt, Incarnation connection, int channel, Content content) {
    /** Content of a frame. */
    sealed interface Content {
        /** One token of a stream. */
        record Token(int index, String text) implements Content {}

        /** End marker of a stream. */
        record End(int count) implements Content {}

        /** Whole answer of a plain service. */
        record Answer(String body) implements Content {}

        /** The upstream refused the request before running it. */
        record Refused() implements Content {}

        /** The upstream ran the request and failed. */
        record Failed() implements Content {}
    }
}
