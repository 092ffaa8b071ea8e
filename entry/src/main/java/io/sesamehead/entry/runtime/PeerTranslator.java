package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.sesamehead.coordination.dispatch.StatedRateLimit;
import io.sesamehead.entry.port.AttemptMetadata;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.ResponseMetadata;
import java.util.Optional;

/** Reads the responses of a daemon that passes calls on: those of upstreams, and refusals of its own. */
final class PeerTranslator implements CallTranslator {
    /** Header of a daemon's own refusals to its peers. */
    static final String NOT_RUN = "Passed-On-Not-Run";

    private final CallTranslator translator;

    PeerTranslator(CallTranslator translator) {
        this.translator = translator;
    }

    @Override
    public CallMetadata readCall(HttpHeaders headers) {
        return translator.readCall(headers);
    }

    @Override
    public void writeAttempt(HttpHeaders headers, AttemptMetadata attempt) {
        translator.writeAttempt(headers, attempt);
    }

    @Override
    public void writePassedOn(HttpHeaders headers, long remainingMillis, Optional<String> lastEventId) {
        translator.writePassedOn(headers, remainingMillis, lastEventId);
    }

    /** What an upstream says about itself concerns the daemon that has sent it the request. */
    @Override
    public ResponseMetadata readResponse(HttpResponse response) {
        ResponseMetadata stated = translator.readResponse(response);
        return new ResponseMetadata(
                stated.requestId(),
                stated.sealed(),
                response.headers().contains(NOT_RUN),
                false,
                new StatedRateLimit.None());
    }

    /** The errors that a daemon sends by itself state no request id. */
    @Override
    public boolean singleResponses() {
        return true;
    }

    @Override
    public String readinessPath() {
        return translator.readinessPath();
    }
}
