package io.sesamehead.entry.runtime;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.Tenant;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.entry.port.AttemptMetadata;
import java.util.Optional;
import java.util.OptionalInt;

/** Encodes the request of a call for each of its attempts, at an upstream or through a daemon that passes it on. */
final class AttemptEncoder {
    private static final int MAX_URGENCY = 9;

    private final CallEnvironment environment;
    private final CallRequest request;
    private final Route route;
    private final Optional<Tenant> tenant;

    AttemptEncoder(CallEnvironment environment, CallRequest request, Route route, Optional<Tenant> tenant) {
        this.environment = environment;
        this.request = request;
        this.route = route;
        this.tenant = tenant;
    }

    /**
     * Encodes the request.
     *
     * @param deadlineMillis deadline of the call, in steady time
     * @param lastEventId id of the last event that the caller has received, if any
     */
    FullHttpRequest encode(Target target, long deadlineMillis, Optional<String> lastEventId) {
        HttpHeaders headers = EndToEndHeaders.copyOf(request.headers());
        long now = environment.clocks().steadyMillis();
        long remainingMillis = Math.max(1, environment.upstreamDeadlineMillis(route, deadlineMillis) - now);
        if (target.key().isPeer()) {
            environment.translator().writePassedOn(headers, remainingMillis, lastEventId);
        } else {
            int priority =
                    tenant.map(Tenant::priority).orElse(OptionalInt.empty()).orElse(route.priority());
            AttemptMetadata attempt = new AttemptMetadata(
                    target.upstream().id(),
                    remainingMillis,
                    tenant.map(Tenant::account),
                    Math.min(MAX_URGENCY, priority),
                    lastEventId);
            environment.translator().writeAttempt(headers, attempt);
        }
        if (request.hasBody()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.target(),
                Unpooled.wrappedBuffer(request.body()),
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    }
}
