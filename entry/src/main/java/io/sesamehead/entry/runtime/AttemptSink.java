package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpResponse;
import io.sesamehead.entry.port.AnswerFacts;

/** Takes what an upstream answered to one attempt, as far as it can be trusted. */
interface AttemptSink {
    /** Takes what any answer on the attempt's connection states of its upstream, whether the answer counts or not. */
    void stated(HttpResponse head, AnswerFacts facts);

    /** Takes the head of a good event stream. Returns false if nobody wants the stream any more. */
    boolean streaming(HttpResponse head);

    /** Takes bytes of the stream. */
    void data(byte[] bytes);

    /** Takes the complete end of the stream. */
    void streamEnded();

    /** Takes a complete answer of an upstream that ran the call. */
    void answered(HttpResponse head, byte[] body);

    /** Takes the upstream's statement that it did not run the call. */
    void notRun(HttpResponse head);

    /** Takes the loss of the attempt. */
    void failed(boolean sent, String reason);
}
