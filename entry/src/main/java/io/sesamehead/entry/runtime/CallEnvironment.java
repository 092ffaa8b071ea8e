package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.sesamehead.coordination.catalog.CatalogGate;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.dispatch.BusyUpstreams;
import io.sesamehead.coordination.dispatch.CallFingerprint;
import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.Dispatcher;
import io.sesamehead.coordination.dispatch.RetryAllowance;
import io.sesamehead.coordination.dispatch.ServiceTimes;
import io.sesamehead.coordination.dispatch.StoppedAttempts;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.CallFacts;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.transport.ExchangeListener;
import io.sesamehead.entry.transport.HttpClients;
import io.sesamehead.entry.transport.RetryAfterHeader;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** What all calls of a daemon share. Belongs to the event loop. */
final class CallEnvironment {
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Daemons assumed to share the retry budget while few are heard of: a deployment has at least this many. */
    private static final int MIN_DAEMONS = 12;

    private final EntrySettings settings;
    private final EventLoop loop;
    private final Clocks clocks;
    private final long startedAtMillis;
    private final CallTranslator translator;
    private final CatalogGate gate;
    private final UpstreamRegistry registry;
    private final Fleet fleet;
    private final TargetTable table;
    private final ServiceTimes times;
    private final BusyUpstreams busy;
    private final Dispatcher dispatcher;
    private final CrashHistory crashes;
    private final StoppedAttempts stopped = new StoppedAttempts();
    private final LeavingNotices leaving;
    private final PeerReports peers;
    private final ModelLoads loads;
    private final HttpClients clients;
    private final EventLog log;
    private final DaemonMetrics metrics;
    private final Map<ServiceName, RetryAllowance> retries = new HashMap<>();
    private final Map<String, Long> longestDeadline = new HashMap<>();
    private final Set<ForwardedCall> open = new LinkedHashSet<>();

    CallEnvironment(
            EntrySettings settings,
            EventLoop loop,
            Clocks clocks,
            CallTranslator translator,
            CatalogGate gate,
            UpstreamRegistry registry,
            Fleet fleet,
            TargetTable table,
            ServiceTimes times,
            BusyUpstreams busy,
            Dispatcher dispatcher,
            CrashHistory crashes,
            LeavingNotices leaving,
            PeerReports peers,
            ModelLoads loads,
            HttpClients clients,
            EventLog log,
            DaemonMetrics metrics) {
        this.settings = settings;
        this.loop = loop;
        this.clocks = clocks;
        this.startedAtMillis = clocks.steadyMillis();
        this.translator = translator;
        this.gate = gate;
        this.registry = registry;
        this.fleet = fleet;
        this.table = table;
        this.times = times;
        this.busy = busy;
        this.dispatcher = dispatcher;
        this.crashes = crashes;
        this.leaving = leaving;
        this.peers = peers;
        this.loads = loads;
        this.clients = clients;
        this.log = log;
        this.metrics = metrics;
    }

    EntrySettings settings() {
        return settings;
    }

    EventLoop loop() {
        return loop;
    }

    Clocks clocks() {
        return clocks;
    }

    CallTranslator translator() {
        return translator;
    }

    CatalogGate gate() {
        return gate;
    }

    Fleet fleet() {
        return fleet;
    }

    TargetTable table() {
        return table;
    }

    ServiceTimes times() {
        return times;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    CrashHistory crashes() {
        return crashes;
    }

    PeerReports peers() {
        return peers;
    }

    ModelLoads loads() {
        return loads;
    }

    EventLog log() {
        return log;
    }

    DaemonMetrics metrics() {
        return metrics;
    }

    RetryAllowance retries(ServiceName service) {
        return retries.computeIfAbsent(
                service,
                name -> new RetryAllowance(
                        settings.retryRatio(),
                        settings.retrySlack(),
                        settings.retryWindowMillis(),
                        settings.firstStart() ? startedAtMillis : startedAtMillis + settings.retryWindowMillis()));
    }

    boolean tryRepeat(ServiceName service, long nowMillis) {
        // Daemons that cannot be heard still use their part.
        int others = Math.max(table.peerCount(), peers.listedDaemons());
        int daemons = Math.max(MIN_DAEMONS, others + 1);
        boolean allowed = retries(service).tryRepeat(nowMillis, daemons);
        if (!allowed) {
            metrics.count("repeats_denied");
        }
        return allowed;
    }

    /** Estimates how long the caller waited at earlier tries: what its time falls short of the route's longest. */
    long spentMillis(Route route, CallFacts facts) {
        if (facts.remainingMillis().isEmpty()) {
            return 0;
        }
        long remaining = facts.remainingMillis().getAsLong();
        long longest = longestDeadline.merge(route.name(), remaining, Math::max);
        return longest - remaining;
    }

    HttpClients.Exchange send(Target target, FullHttpRequest request, boolean repeatable, ExchangeListener listener) {
        HttpClients.Freshness fresh = repeatable ? HttpClients.Freshness.ANY : HttpClients.Freshness.RECENT;
        return clients.send(target.receiver().endpoint(), request, fresh, listener);
    }

    /** Notes an upstream's own word that it leaves. */
    void upstreamLeaves(UpstreamEntry upstream) {
        leaving.stated(upstream);
    }

    /** Notes that an upstream wants no request from this daemon for a time. That is about this daemon only. */
    void upstreamBusy(InstanceId upstream, HttpHeaders headers) {
        OptionalLong millis = RetryAfterHeader.millis(headers, BusyUpstreams.MAX_MILLIS);
        millis.ifPresent(time -> busy.recordBusy(upstream, time, clocks.steadyMillis()));
        metrics.count("upstreams_busy");
        log.write(
                EventLog.Part.GROUP,
                millis.isPresent() ? "upstream-busy" : "unreadable-time",
                "upstream",
                upstream,
                "for_ms",
                millis.orElse(0),
                "stated",
                headers.get(HttpHeaderNames.RETRY_AFTER));
    }

    /** Notes an attempt that ends without an answer or a failure. */
    void attemptStopped(CallFingerprint request, TargetKey target, long sentAtMillis) {
        stopped.add(new StoppedAttempts.Stopped(request, target, sentAtMillis, clocks.steadyMillis()));
    }

    /** Counts the end of a target against the requests whose attempts at it were stopped shortly before. */
    void targetEnded(TargetKey key) {
        long now = clocks.steadyMillis();
        for (StoppedAttempts.Stopped attempt : stopped.take(key, now)) {
            crashes.recordCrash(attempt.request(), key, attempt.sentAtMillis(), now);
            log.write(
                    EventLog.Part.CALL,
                    "crash-counted-later",
                    "target",
                    key,
                    "request",
                    attempt.request(),
                    "crashes",
                    crashes.crashes(attempt.request(), now),
                    "stopped_ms_ago",
                    now - attempt.stoppedAtMillis());
        }
    }

    void unreachable(Target target) {
        table.unreachable(target.key(), clocks.steadyMillis());
        targetEnded(target.key());
        log.write(
                EventLog.Part.GROUP,
                "unreachable",
                "target",
                target.key(),
                "at_upstream",
                target.receiver().id());
    }

    long configVersion() {
        return gate.table().map(table -> table.config().version()).orElse(0L);
    }

    long registryAgeMillis() {
        return clocks.steadyMillis() - registry.answeredAt();
    }

    void open(ForwardedCall call) {
        open.add(call);
    }

    void closed(ForwardedCall call) {
        open.remove(call);
    }

    int openCalls() {
        return open.size();
    }

    /** Moves the calls at a target that has stopped. */
    void onStalled(TargetKey key) {
        targetEnded(key);
        for (ForwardedCall call : List.copyOf(open)) {
            call.onStalled(key);
        }
    }

    /** Answers a call by the daemon itself. */
    void answer(Responder responder, AnswerKind kind, long retryAfterMillis) {
        HttpHeaders headers = HopHeaders.empty();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        if (kind.retryAdvised()) {
            headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
        }
        byte[] body = ("{\"type\":\"" + kind.type() + "\"}").getBytes(StandardCharsets.UTF_8);
        responder.answer(kind.status(), headers, body);
    }
}
