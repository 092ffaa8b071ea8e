package io.sesamehead.entry.runtime;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.Tenant;
import io.sesamehead.coordination.dispatch.CallFingerprint;
import io.sesamehead.coordination.dispatch.CallShape;
import io.sesamehead.coordination.dispatch.DispatchDecision;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.entry.port.AnswerFacts;
import io.sesamehead.entry.port.AttemptFacts;
import io.sesamehead.entry.port.CallFacts;
import io.sesamehead.entry.protocol.EventScanner;
import io.sesamehead.entry.transport.HttpClients;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * One call on its way: admitted, sent to a target, sent again or resumed elsewhere where that is allowed, and answered.
 * Exactly one answer is given. Belongs to the event loop.
 */
final class ForwardedCall {
    /** Attempts beyond the route's number that upstreams refused without running them. */
    private static final int UNRUN_ATTEMPTS = 2;
    /** Time granted to an upstream's own answer at the end of the call's time, in milliseconds. */
    private static final long EXPIRY_MARGIN_MILLIS = 60;
    /** Return time after attempts that did not run, in milliseconds. */
    private static final long UNRUN_RETURN_MILLIS = 150;

    private static final int MAX_URGENCY = 9;

    private final CallEnvironment environment;
    private final CallRequest request;
    private final CallFingerprint fingerprint;
    private final CallFacts facts;
    private final Route route;
    private final Optional<Tenant> tenant;
    private final ServiceName service;
    private final Responder responder;
    private final CallLog log;
    private final long expiresAtMillis;
    private final List<TargetKey> tried = new ArrayList<>();

    private ScheduledFuture<?> expiry;
    private Attempt attempt;
    private int ranAttempts;
    private int unrunAttempts;
    private boolean begun;
    private boolean ended;
    private Optional<String> lastEventId;
    private OptionalLong lastEventNumber = OptionalLong.empty();

    ForwardedCall(
            CallEnvironment environment,
            CallRequest request,
            CallFingerprint fingerprint,
            CallFacts facts,
            Route route,
            Optional<Tenant> tenant,
            ServiceName service,
            Responder responder) {
        this.environment = environment;
        this.request = request;
        this.fingerprint = fingerprint;
        this.facts = facts;
        this.route = route;
        this.tenant = tenant;
        this.service = service;
        this.responder = responder;
        this.log = new CallLog(environment, facts, route, request.arrivedAtMillis());
        this.lastEventId = facts.lastEventId();
        long allowed = Math.min(facts.remainingMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        this.expiresAtMillis = request.arrivedAtMillis() + allowed;
    }

    /** Sends the call or refuses it. */
    void start() {
        environment.retries(service).recordCall(now());
        long left = Math.max(1, expiresAtMillis - now() + EXPIRY_MARGIN_MILLIS);
        expiry = environment.loop().schedule(this::expire, left, TimeUnit.MILLISECONDS);
        environment.open(this);
        dispatch();
    }

    /** Stops all work: the caller has left. */
    void abandon() {
        if (ended) {
            return;
        }
        environment.metrics().count("calls_left_by_caller");
        finish();
    }

    /** Moves the call away from a target that has stopped, if it may run again. One that may not waits on. */
    void onStalled(TargetKey key) {
        if (ended || attempt == null || !attempt.target.key().equals(key)) {
            return;
        }
        if (!route.idempotent()) {
            attempt.countCrash();
            return;
        }
        log.moved(key, lastEventId);
        attempt.failed(true, "target is silent");
    }

    /** Resumes or stops reading from the upstream, as the caller takes bytes or not. */
    void onWritable(boolean writable) {
        if (attempt != null && attempt.exchange != null) {
            attempt.exchange.readOn(writable);
        }
    }

    private void dispatch() {
        List<Target> candidates = new ArrayList<>();
        for (Target target : environment.fleet().targets(service, facts.model())) {
            if (!tried.contains(target.key())) {
                candidates.add(target);
            }
        }
        CallShape shape = new CallShape(
                facts.promptTokens(),
                route.objectiveMillis(),
                expiresAtMillis - now(),
                environment.spentMillis(route, facts) + now() - request.arrivedAtMillis());
        switch (environment.dispatcher().decide(shape, candidates, now())) {
            case DispatchDecision.Send send -> send(send.target(), send.expectedMillis());
            case DispatchDecision.Refuse refuse -> refuse(refuse, candidates);
        }
    }

    /** A call that has begun is not given up for lack of a free place: it queues at the least loaded target. */
    private void refuse(DispatchDecision.Refuse refuse, List<Target> candidates) {
        Optional<Target> queue = begun ? environment.dispatcher().leastLoaded(candidates, now()) : Optional.empty();
        if (queue.isPresent()) {
            send(queue.get(), 0);
            return;
        }
        if (refuse.reason() == DispatchDecision.Reason.NO_PLACE) {
            facts.model().ifPresent(model -> environment.loads().refusedHere(model, now()));
        }
        AnswerKind kind =
                refuse.reason() == DispatchDecision.Reason.NO_PLACE ? AnswerKind.NO_PLACE : AnswerKind.NO_TARGET;
        giveUp(kind, refuse.retryAfterMillis(), "candidates " + candidates.size());
    }

    private void send(Target target, long expectedMillis) {
        tried.add(target.key());
        log.sent(tried.size(), target, expectedMillis, lastEventId);
        attempt = new Attempt(target, expectedMillis);
        attempt.start();
    }

    private FullHttpRequest encode(Target target) {
        HttpHeaders headers = HopHeaders.copyWithout(request.headers());
        int rank = tenant.map(Tenant::rank).orElse(OptionalInt.empty()).orElse(route.rank());
        environment
                .translator()
                .writeAttempt(
                        headers,
                        new AttemptFacts(
                                target.receiver().id(),
                                Math.max(1, expiresAtMillis - now()),
                                tenant.map(Tenant::account),
                                Math.min(MAX_URGENCY, rank),
                                lastEventId));
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

    /** Sends the call again if its route, the retry budget and the time allow it. */
    private boolean trySendAgain(boolean mayHaveRun) {
        if (mayHaveRun && (!route.idempotent() || ranAttempts >= route.maxAttempts())) {
            return false;
        }
        if (unrunAttempts > UNRUN_ATTEMPTS || now() >= expiresAtMillis) {
            return false;
        }
        if (environment.crashes().refused(fingerprint, now())) {
            return false;
        }
        boolean anyTarget = environment.fleet().targets(service, facts.model()).stream()
                .anyMatch(target -> !tried.contains(target.key())
                        && environment.dispatcher().usable(target, now()));
        if (!anyTarget || !environment.tryRepeat(service, now())) {
            return false;
        }
        environment.metrics().count("calls_sent_again");
        dispatch();
        return true;
    }

    private void expire() {
        if (ended) {
            return;
        }
        if (begun) {
            breakOff("expired");
        } else if (attempt != null || ranAttempts > 0) {
            fail(AnswerKind.EXPIRED, 0, "time is up");
        } else {
            fail(AnswerKind.EXPIRED_UNSENT, UNRUN_RETURN_MILLIS, "time is up");
        }
    }

    /** Answers that the call has not run, or that it may have, as the attempts tell. */
    private void giveUp(AnswerKind unrunKind, long retryAfterMillis, String reason) {
        if (begun) {
            breakOff(reason);
        } else if (ranAttempts > 0) {
            fail(AnswerKind.MAY_HAVE_RUN, 0, reason);
        } else {
            fail(unrunKind, retryAfterMillis, reason);
        }
    }

    private void fail(AnswerKind kind, long retryAfterMillis, String reason) {
        log.failed(kind.type(), reason, tried, ranAttempts);
        environment.answer(responder, kind, retryAfterMillis);
        finish();
    }

    private void breakOff(String reason) {
        log.failed("broken-off", reason, tried, ranAttempts);
        responder.breakOff();
        finish();
    }

    private void succeed(int status) {
        log.ended(status, tried.size());
        finish();
    }

    private void finish() {
        ended = true;
        if (expiry != null) {
            expiry.cancel(false);
        }
        if (attempt != null) {
            attempt.stopUnanswered();
            attempt = null;
        }
        environment.closed(this);
    }

    private long now() {
        return environment.clocks().steadyMillis();
    }

    /** One sending of the call to one target. */
    private final class Attempt implements AttemptSink {
        private final Target target;
        private final long sentAtMillis = now();
        private final long expectedMillis;
        private final EventScanner events = new EventScanner();
        private final AnswerReader reader;
        private HttpClients.Exchange exchange;
        private boolean over;
        private boolean crashCounted;
        private boolean firstEventSeen;

        Attempt(Target target, long expectedMillis) {
            this.target = target;
            this.expectedMillis = expectedMillis;
            this.reader = new AnswerReader(environment.translator(), facts.requestId(), route.kind(), this);
        }

        void start() {
            environment.table().sent(target.key(), sentAtMillis);
            exchange = environment.send(target, encode(target), route.idempotent(), reader);
            if (over) {
                exchange.cancel();
            }
        }

        void stopUnanswered() {
            if (!over) {
                environment.attemptStopped(fingerprint, target.key(), sentAtMillis);
                stop();
            }
        }

        /** A silent target is reported again at each check; its crash counts once. */
        void countCrash() {
            if (crashCounted) {
                return;
            }
            crashCounted = true;
            environment.crashes().recordCrash(fingerprint, target.key(), sentAtMillis, now());
            log.crashCounted(target, fingerprint, environment.crashes().crashes(fingerprint, now()));
        }

        /** Takes the attempt back; nothing that the upstream still sends counts. */
        void stop() {
            if (over) {
                return;
            }
            end();
            if (exchange != null) {
                exchange.cancel();
            }
        }

        private void end() {
            over = true;
            environment.table().ended(target.key());
        }

        @Override
        public void stated(HttpResponse head, AnswerFacts facts) {
            if (facts.leaving()) {
                environment.upstreamLeaves(target.receiver());
            }
            if (head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                    && head.headers().contains(HttpHeaderNames.RETRY_AFTER)) {
                environment.upstreamBusy(target.receiver().id(), head.headers());
            }
        }

        @Override
        public boolean streaming(HttpResponse head) {
            if (over) {
                return false;
            }
            environment.table().progressed(target.key(), now());
            if (!begun) {
                begun = true;
                HttpHeaders headers = HopHeaders.copyWithout(head.headers());
                responder.begin(head.status(), headers);
            }
            return true;
        }

        @Override
        public void data(byte[] bytes) {
            if (over) {
                return;
            }
            if (!events.feed(bytes, this::forward)) {
                failed(true, "event too large");
            }
        }

        /** Only a whole event is a sign of life: a target in trouble may send single bytes for ever. */
        private void forward(EventScanner.Event event) {
            environment.table().progressed(target.key(), now());
            noteFirstEvent();
            OptionalLong number = event.number();
            boolean repeated = number.isPresent()
                    && lastEventNumber.isPresent()
                    && number.getAsLong() <= lastEventNumber.getAsLong();
            if (repeated) {
                return;
            }
            if (event.id().isPresent()) {
                lastEventId = event.id();
                lastEventNumber = number;
            }
            if (!responder.part(event.bytes())) {
                exchange.readOn(false);
            }
        }

        private void noteFirstEvent() {
            if (firstEventSeen) {
                return;
            }
            firstEventSeen = true;
            long took = now() - sentAtMillis;
            environment.metrics().time("first_event_ms", took);
            environment.metrics().time("first_event_late_ms", took - expectedMillis);
        }

        @Override
        public void streamEnded() {
            if (over) {
                return;
            }
            if (events.midEvent()) {
                failed(true, "answer ends inside an event");
                return;
            }
            end();
            environment.times().recordRun(target, now() - sentAtMillis);
            responder.end();
            environment.crashes().recordCompleted(fingerprint, now());
            succeed(HttpResponseStatus.OK.code());
        }

        @Override
        public void answered(HttpResponse head, byte[] body) {
            if (over) {
                return;
            }
            environment.table().progressed(target.key(), now());
            end();
            environment.times().recordRun(target, now() - sentAtMillis);
            boolean failure = head.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
            if (failure) {
                ranAttempts++;
                if (route.kind() == CallKind.SAFE && trySendAgain(true)) {
                    return;
                }
            } else {
                environment.crashes().recordCompleted(fingerprint, now());
            }
            if (begun) {
                breakOff("the resumed stream ended with status " + head.status().code());
                return;
            }
            responder.answer(head.status(), HopHeaders.copyWithout(head.headers()), body);
            succeed(head.status().code());
        }

        @Override
        public void notRun(HttpResponse head) {
            if (over) {
                return;
            }
            environment.table().progressed(target.key(), now());
            end();
            unrunAttempts++;
            log.attemptRefused(target, head.status().code());
            if (!trySendAgain(false)) {
                giveUp(
                        AnswerKind.NO_PLACE,
                        UNRUN_RETURN_MILLIS,
                        "upstream refused with status " + head.status().code());
            }
        }

        @Override
        public void failed(boolean sent, String reason) {
            if (over) {
                return;
            }
            stop();
            log.attemptLost(target, sent, begun, reason);
            if (sent) {
                ranAttempts++;
                countCrash();
                environment.targetEnded(target.key());
            } else {
                unrunAttempts++;
                environment.unreachable(target);
            }
            if (!trySendAgain(sent)) {
                giveUp(AnswerKind.NO_TARGET, UNRUN_RETURN_MILLIS, reason);
            }
        }
    }
}
