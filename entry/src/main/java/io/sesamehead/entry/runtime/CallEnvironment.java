package io.sesamehead.entry.runtime;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.sesamehead.coordination.buffer.BufferAccount;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.coordination.catalog.RegionMap;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.dispatch.BusyUpstreams;
import io.sesamehead.coordination.dispatch.CancelledAttempts;
import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.Dispatcher;
import io.sesamehead.coordination.dispatch.EvidencePolicy;
import io.sesamehead.coordination.dispatch.EvidenceReaction;
import io.sesamehead.coordination.dispatch.PeerSelector;
import io.sesamehead.coordination.dispatch.PromptPartCrashes;
import io.sesamehead.coordination.dispatch.RateLimitShares;
import io.sesamehead.coordination.dispatch.RequestCrashes;
import io.sesamehead.coordination.dispatch.ServiceTimeEstimator;
import io.sesamehead.coordination.dispatch.StatedRateLimit;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetEvidence;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.drain.StopSchedule;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.transport.ExchangeListener;
import io.sesamehead.entry.transport.HttpConnectionPool;
import io.sesamehead.entry.transport.RetryAfterHeader;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** State and collaborators shared by all calls of a daemon. Confined to the event loop. */
final class CallEnvironment {
    private static final double MILLIS_PER_SECOND = 1_000;
    /** The part of the heap that buffered responses may hold is one over this. Requests and the rest need the others. */
    private static final int RESPONSE_MEMORY_DIVISOR = 4;

    /** Pause in calls to an upstream after a response without end, in milliseconds. */
    private static final long OVERSIZED_PAUSE_MILLIS = 2_000;

    private final EntrySettings settings;
    private final RegionMap regionMap;
    private final EventLoop loop;
    private final Clocks clocks;
    private final CallTranslator translator;
    private final ActiveConfig activeConfig;
    private final UpstreamRegistry registry;
    private final Fleet fleet;
    private final TargetTable targetTable;
    private final ServiceTimeEstimator serviceTimes;
    private final BusyUpstreams busyUpstreams;
    private final Dispatcher dispatcher;
    private final SlotAdmission slotAdmission;
    private final CrashHistory crashHistory;
    private final RequestCrashes requestCrashes;
    private final PromptPartCrashes partCrashes;
    private final CancelledAttempts cancelledAttempts = new CancelledAttempts();
    private final ResponseBuffer.Pool responseBuffers =
            new ResponseBuffer.Pool(new BufferAccount(Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_DIVISOR));
    private final LeavingRecorder leavingRecorder;
    private final RateLimitShares rateLimitShares;
    private final RateLimitRecorder rateLimitRecorder;
    private final PeerReporter peerReporter;
    private final ModelLoads modelLoads;
    private final HttpConnectionPool clients;
    private final EventLog log;
    private final EventLoopTasks tasks;
    private final DaemonMetrics metrics;
    private final RetryBudgets retryBudgets;
    private final Map<String, Long> maxRemainingMillisByRoute = new HashMap<>();
    private final Set<ForwardedCall> openCalls = new LinkedHashSet<>();
    /** Superseded attempts of calls that have ended. */
    private final List<CallAttempt> supersededAttempts = new ArrayList<>();

    private final PeerForwarding peerForwarding;
    private final DomainTraffic domainTraffic;
    /** Times of the planned stop, empty until it begins. */
    private Optional<StopSchedule> stop = Optional.empty();

    CallEnvironment(
            EntrySettings settings,
            EventLoop loop,
            Clocks clocks,
            CallTranslator translator,
            ActiveConfig activeConfig,
            UpstreamRegistry registry,
            Fleet fleet,
            TargetTable targetTable,
            ServiceTimeEstimator serviceTimes,
            BusyUpstreams busyUpstreams,
            Dispatcher dispatcher,
            SlotAdmission slotAdmission,
            CrashHistory crashHistory,
            RequestCrashes requestCrashes,
            PromptPartCrashes partCrashes,
            LeavingRecorder leavingRecorder,
            RateLimitShares rateLimitShares,
            RateLimitRecorder rateLimitRecorder,
            PeerReporter peerReporter,
            ModelLoads modelLoads,
            HttpConnectionPool clients,
            EventLog log,
            DaemonMetrics metrics) {
        this.settings = settings;
        this.regionMap = settings.placement().regionMap(settings.failureDomain());
        this.loop = loop;
        this.clocks = clocks;
        this.retryBudgets = new RetryBudgets(
                settings, clocks.steadyMillis(), targetTable, () -> peerReporter.listedDaemons(), metrics);
        this.translator = translator;
        this.activeConfig = activeConfig;
        this.registry = registry;
        this.fleet = fleet;
        this.targetTable = targetTable;
        this.serviceTimes = serviceTimes;
        this.busyUpstreams = busyUpstreams;
        this.dispatcher = dispatcher;
        this.slotAdmission = slotAdmission;
        this.crashHistory = crashHistory;
        this.requestCrashes = requestCrashes;
        this.partCrashes = partCrashes;
        this.leavingRecorder = leavingRecorder;
        this.rateLimitShares = rateLimitShares;
        this.rateLimitRecorder = rateLimitRecorder;
        this.peerReporter = peerReporter;
        this.modelLoads = modelLoads;
        this.clients = clients;
        this.log = log;
        this.tasks = new EventLoopTasks(loop, log);
        this.metrics = metrics;
        for (BufferAccount.Kind kind : BufferAccount.Kind.values()) {
            String name = "response_bytes_held{kind=\"" + kind.name().toLowerCase(Locale.ROOT) + "\"}";
            metrics.gauge(name, () -> responseBuffers.heldBytes(kind));
        }
        this.domainTraffic = new DomainTraffic(
                settings.failureDomain(), settings.placement().domainByteMillisPerKilobyte(), metrics);
        PeerSelector selector = new PeerSelector(targetTable, dispatcher);
        this.peerForwarding = new PeerForwarding(
                clocks, fleet, targetTable, busyUpstreams, dispatcher, selector, peerReporter, clients, log, metrics);
    }

    EntrySettings settings() {
        return settings;
    }

    /** Returns where this daemon and the failure domains are. */
    RegionMap regionMap() {
        return regionMap;
    }

    EventLoop loop() {
        return loop;
    }

    EventLoopTasks tasks() {
        return tasks;
    }

    Clocks clocks() {
        return clocks;
    }

    CallTranslator translator() {
        return translator;
    }

    ActiveConfig activeConfig() {
        return activeConfig;
    }

    Fleet fleet() {
        return fleet;
    }

    TargetTable targetTable() {
        return targetTable;
    }

    ServiceTimeEstimator serviceTimes() {
        return serviceTimes;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    SlotAdmission slotAdmission() {
        return slotAdmission;
    }

    CrashHistory crashHistory() {
        return crashHistory;
    }

    RequestCrashes requestCrashes() {
        return requestCrashes;
    }

    PromptPartCrashes partCrashes() {
        return partCrashes;
    }

    PeerReporter peerReporter() {
        return peerReporter;
    }

    ModelLoads modelLoads() {
        return modelLoads;
    }

    EventLog log() {
        return log;
    }

    DaemonMetrics metrics() {
        return metrics;
    }

    DomainTraffic domainTraffic() {
        return domainTraffic;
    }

    ResponseBuffer.Pool responseBuffers() {
        return responseBuffers;
    }

    RetryBudgets retryBudgets() {
        return retryBudgets;
    }

    /**
     * Estimates how long the caller has already waited in earlier requests of the same call: the difference between its
     * remaining time and the longest remaining time seen on the route.
     */
    long estimateElapsedMillis(Route route, CallMetadata facts) {
        if (facts.remainingMillis().isEmpty()) {
            return 0;
        }
        long remainingMillis = facts.remainingMillis().getAsLong();
        long longestMillis = maxRemainingMillisByRoute.merge(route.name(), remainingMillis, Math::max);
        return longestMillis - remainingMillis;
    }

    HttpConnectionPool.Exchange send(
            Target target, FullHttpRequest request, boolean idempotent, ExchangeListener listener) {
        HttpConnectionPool.Freshness freshness =
                idempotent ? HttpConnectionPool.Freshness.ANY : HttpConnectionPool.Freshness.RECENT;
        return clients.send(target.upstream().endpoint(), request, freshness, listener);
    }

    /** Records an upstream's own statement that it is leaving. */
    void recordLeaving(UpstreamEntry upstream) {
        leavingRecorder.recordFromUpstream(upstream);
    }

    /** Records that an upstream asked this daemon to pause with Retry-After. Other daemons may still send to it. */
    void recordBusy(InstanceId upstream, HttpHeaders headers) {
        OptionalLong millis = RetryAfterHeader.delayMillis(headers, BusyUpstreams.MAX_BUSY_MILLIS);
        millis.ifPresent(time -> busyUpstreams.recordBusy(upstream, time, clocks.steadyMillis()));
        metrics.count("upstreams_busy");
        log.write(
                EventLog.Component.GROUP,
                millis.isPresent() ? "upstream-busy" : "unreadable-time",
                "upstream",
                upstream,
                "for_ms",
                millis.orElse(0),
                "stated",
                headers.get(HttpHeaderNames.RETRY_AFTER));
    }

    /** Records the arrival of a call for a service. */
    void recordArrival(ServiceName service) {
        rateLimitShares.recordArrival(service, clocks.steadyMillis());
    }

    /** Records what a response of an upstream says about the rate of requests that it accepts. */
    void recordRateLimit(UpstreamEntry upstream, StatedRateLimit stated) {
        if (rateLimitRecorder.recordFromUpstream(upstream, stated)) {
            peerReporter.reportSoon();
        }
    }

    /**
     * Records an attempt that was cancelled before it had a response or a failure.
     *
     * @param parts parts of the prompt, empty if the answer had begun
     */
    void recordCancelledAttempt(
            CrashSubject request, ImmutableList<CrashSubject> parts, TargetKey target, long sentAtMillis) {
        cancelledAttempts.add(
                new CancelledAttempts.CancelledAttempt(request, parts, target, sentAtMillis, clocks.steadyMillis()));
    }

    /** Records an attempt that was lost before its answer had begun as a crash of the parts of its prompt. */
    void recordPartsLost(ImmutableList<CrashSubject> parts, TargetKey target, long sentAtMillis) {
        if (partCrashes.recordLost(parts, target, sentAtMillis, clocks.steadyMillis())) {
            peerReporter.reportSoon();
        }
    }

    /** Acts on evidence against a target: a crash also counts for attempts there that were cancelled shortly before. */
    void onTargetEvidence(TargetKey key, TargetEvidence evidence) {
        if (EvidencePolicy.justifies(evidence, EvidenceReaction.COUNT_CRASH)) {
            countCancelledAttempts(key);
        }
    }

    private void countCancelledAttempts(TargetKey key) {
        long now = clocks.steadyMillis();
        for (CancelledAttempts.CancelledAttempt attempt : cancelledAttempts.take(key, now)) {
            crashHistory.recordCrash(attempt.request(), key, attempt.sentAtMillis(), now);
            recordPartsLost(attempt.parts(), key, attempt.sentAtMillis());
            log.write(
                    EventLog.Component.CALL,
                    "crash-counted-later",
                    "target",
                    key,
                    "request",
                    attempt.request(),
                    "crashes",
                    crashHistory.crashCount(attempt.request(), now),
                    "stopped_ms_ago",
                    now - attempt.cancelledAtMillis());
        }
    }

    /** Records that an upstream has sent what is no valid response. It goes on, so that no crash is counted. */
    void recordFaultyResponse(Target target) {
        metrics.count("responses_faulty");
        onTargetEvidence(target.key(), new TargetEvidence.FaultyResponse());
        log.write(
                EventLog.Component.GROUP,
                "faulty-response",
                "target",
                target.key(),
                "at_upstream",
                target.upstream().id());
    }

    /** Sends an upstream no further calls for a while: the next ones would cost as much memory as the last. */
    void recordOversizedResponse(UpstreamEntry upstream) {
        busyUpstreams.recordBusy(upstream.id(), OVERSIZED_PAUSE_MILLIS, clocks.steadyMillis());
    }

    void recordUnreachable(Target target) {
        targetTable.recordUnreachable(target.key(), clocks.steadyMillis());
        onTargetEvidence(target.key(), new TargetEvidence.ConnectFailed());
        log.write(
                EventLog.Component.GROUP,
                "unreachable",
                "target",
                target.key(),
                "at_upstream",
                target.upstream().id());
    }

    /** Returns what is known of the paths to the targets, and of the peers that pass calls on. */
    PeerForwarding peerForwarding() {
        return peerForwarding;
    }

    long configVersion() {
        return activeConfig.table().map(table -> table.config().version()).orElse(0L);
    }

    long registryAgeMillis() {
        return clocks.steadyMillis() - registry.answeredAtMillis();
    }

    void addCall(ForwardedCall call) {
        openCalls.add(call);
    }

    void removeCall(ForwardedCall call) {
        openCalls.remove(call);
    }

    int openCalls() {
        return openCalls.size();
    }

    /** Returns whether this daemon's calls make no progress at a target. */
    boolean isSilent(TargetKey key) {
        return EvidencePolicy.justifies(
                targetTable.silence(key, clocks.steadyMillis()), EvidenceReaction.SECOND_ATTEMPT);
    }

    /** Acts on the silence of a target at which calls of this daemon are in flight. */
    void onSilence(TargetKey key, TargetEvidence.Silence silence) {
        onTargetEvidence(key, silence);
        for (ForwardedCall call : List.copyOf(openCalls)) {
            if (EvidencePolicy.justifies(silence, EvidenceReaction.COUNT_CRASH)) {
                call.onLost(key);
            }
            if (EvidencePolicy.justifies(silence, EvidenceReaction.SECOND_ATTEMPT)) {
                call.onSilent(key);
            }
        }
    }

    /** Adds attempts that outlive their call until their targets go on or are lost. */
    void addSuperseded(List<CallAttempt> attempts) {
        supersededAttempts.addAll(attempts);
    }

    /** Closes superseded attempts whose targets are no longer silent. */
    void checkSuperseded() {
        supersededAttempts.removeIf(attempt -> !attempt.checkSuperseded());
        openCalls.forEach(ForwardedCall::checkSuperseded);
    }

    /** Ends the calls that wait for an answer although a part of their prompt has been refused since. */
    void endRefusedCalls() {
        for (ForwardedCall call : List.copyOf(openCalls)) {
            call.endIfPartRefused();
        }
    }

    /** Sets the times of a planned stop. */
    void beginStop(StopSchedule schedule) {
        stop = Optional.of(schedule);
    }

    boolean isStopping() {
        return stop.isPresent();
    }

    /** Returns whether new requests are refused. One that is accepted this late might not complete before the exit. */
    boolean isRefusing() {
        return stop.filter(schedule -> schedule.isRefusing(clocks.steadyMillis()))
                .isPresent();
    }

    /**
     * Returns whether an attempt can end before a stopping daemon gives its last answers.
     *
     * @param deadlineMillis deadline of the call
     * @param promptTokens number of prompt tokens, 0 for a plain call
     * @param ranMillis time for which a stream that would be resumed has run, in milliseconds
     */
    boolean mayEndBeforeExit(Target target, long deadlineMillis, int promptTokens, long ranMillis) {
        return stop.stream().allMatch(schedule -> {
            int load = targetTable.inFlight(target.key());
            return schedule.allowsAttempt(
                    clocks.steadyMillis(),
                    deadlineMillis,
                    serviceTimes.endMillis(target, load, promptTokens, ranMillis));
        });
    }

    /**
     * Returns the deadline to state to an upstream. A stream keeps its own, because an upstream that breaks it off at an
     * earlier one would count as crashed.
     */
    long upstreamDeadlineMillis(Route route, long deadlineMillis) {
        return route.kind() == CallKind.STREAM
                ? deadlineMillis
                : stop.map(schedule -> schedule.upstreamDeadlineMillis(deadlineMillis))
                        .orElse(deadlineMillis);
    }

    /** Ends all open calls because the daemon is about to exit. */
    void endCallsForStop() {
        for (ForwardedCall call : List.copyOf(openCalls)) {
            tasks.run("end-call", call::endForStop, call::endAfterFailure);
        }
    }

    /** Sends an error response generated by this daemon. */
    void sendError(ResponseWriter responseWriter, ErrorResponse error, long retryAfterMillis) {
        HttpHeaders headers = EndToEndHeaders.empty();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        if (error.retryAdvised()) {
            headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
        }
        byte[] body = ("{\"type\":\"" + error.type() + "\"}").getBytes(StandardCharsets.UTF_8);
        responseWriter.sendOwn(error.status(), headers, body, error.notRun());
    }
}
