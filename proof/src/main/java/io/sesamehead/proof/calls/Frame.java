package io.sesamehead.proof.calls;

import io.sesamehead.state.AttemptId;
import io.sesamehead.state.Incarnation;

/**
 * Part of an upstream's response, sent to a daemon.
 *
 * @param attempt the attempt to which the frame belongs
 * @param connection incarnation of the connection on which the frame was sent
 * @param channel number of the stream on the connection; the numbers of ended streams are reused
 * @param content the content
 */
record Frame(AttemptId attempt, Incarnation connection, int channel, Content content) {
    /** Content of a frame. */
    sealed interface Content {
        /** One token of a stream, with its index from 0. */
        record Token(int index, String text) implements Content {}

        /** End marker of a stream, with the number of its tokens. */
        record End(int count) implements Content {}

        /** Complete response of a plain service. */
        record Answer(String body) implements Content {}

        /** The upstream refused the request before running it. */
        record Refused() implements Content {}

        /** The upstream ran the request, which failed. */
        record Failed() implements Content {}
    }
}
