package io.sesamehead.daemon.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.ObjectCodec;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.protocol.VmListCodec;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Vm;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.hc.client5.http.classic.methods.HttpDelete;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpPut;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;

/**
 * Client of the platform's object API and VM list. All calls block; each takes a token from the daemon's bucket first
 * and is refused as rate-limited when the wait would exceed the call's timeout. Writes are never repeated.
 */
public final class PlatformClient implements AutoCloseable {
    private static final String OBJECTS = "/apis/sesamehead.io/v1/namespaces/default/";
    private static final String NODES = "/api/v1/nodes";
    private static final int MAX_CONNECTIONS = 64;

    private final String base;
    private final Duration timeout;
    private final PooledHttpClient http;
    private final TokenBucket bucket;
    private final LongSupplier nowMillis;

    /**
     * Creates a client; no connection is opened yet.
     *
     * @param settings address, timeout and rate
     * @param nowMillis monotonic clock, in milliseconds
     */
    public PlatformClient(DaemonSettings.Platform settings, LongSupplier nowMillis) {
        this.base = "http://" + Addresses.text(settings.address());
        this.timeout = settings.timeout();
        this.http = new PooledHttpClient(MAX_CONNECTIONS, MAX_CONNECTIONS, settings.timeout());
        this.bucket = new TokenBucket(settings.callsPerSecond(), settings.callsPerSecond(), nowMillis.getAsLong());
        this.nowMillis = nowMillis;
    }

    /**
     * Reads an object.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @return the object; never ambiguous
     */
    public StoreResult<PlatformObject> read(String kind, String name) {
        return call(new HttpGet(base + OBJECTS + kind + "/" + encoded(name)), answer -> objectAnswer(kind, answer));
    }

    /**
     * Lists the objects of a kind.
     *
     * @param kind the kind
     * @return the objects; never ambiguous
     */
    public StoreResult<ImmutableList<PlatformObject>> list(String kind) {
        return call(
                new HttpGet(base + OBJECTS + kind),
                answer -> StoreResultMapper.fromResponse(answer, false, tree -> ObjectCodec.decodeList(kind, tree)));
    }

    /**
     * Creates an object if no object has its name.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @param spec content
     * @return the object as stored
     */
    public StoreResult<PlatformObject> create(String kind, String name, JsonNode spec) {
        HttpPost request = new HttpPost(base + OBJECTS + kind);
        request.setEntity(body(new PlatformObject(kind, name, "", spec)));
        return call(request, answer -> objectAnswer(kind, answer));
    }

    /**
     * Replaces an object if its version is still the one that was read.
     *
     * @param object the object with its new content and the version that was read
     * @return the object as stored
     */
    public StoreResult<PlatformObject> update(PlatformObject object) {
        HttpPut request = new HttpPut(base + OBJECTS + object.kind() + "/" + encoded(object.name()));
        request.setEntity(body(object));
        return call(request, answer -> objectAnswer(object.kind(), answer));
    }

    /**
     * Deletes an object.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @return a value when the object was deleted
     */
    public StoreResult<Boolean> delete(String kind, String name) {
        return call(
                new HttpDelete(base + OBJECTS + kind + "/" + encoded(name)),
                answer -> StoreResultMapper.fromResponse(answer, true, tree -> Boolean.TRUE));
    }

    /**
     * Reads the platform's list of VMs.
     *
     * @return the VMs that run an engine; never ambiguous
     */
    public StoreResult<ImmutableList<Vm>> vms() {
        return call(new HttpGet(base + NODES), answer -> StoreResultMapper.fromResponse(answer, false, VmListCodec::decode));
    }

    /**
     * Reads the platform's list of VMs of one failure domain, because the whole list is large. A platform that ignores
     * the selector answers with more.
     *
     * @param failureDomain the failure domain
     * @return the VMs that run an engine; never ambiguous
     */
    public StoreResult<ImmutableList<Vm>> vms(FailureDomain failureDomain) {
        String selector = encoded(VmListCodec.FAILURE_DOMAIN + "=" + failureDomain.value());
        return call(
                new HttpGet(base + NODES + "?labelSelector=" + selector),
                answer -> StoreResultMapper.fromResponse(answer, false, VmListCodec::decode));
    }

    /**
     * Watches one object; blocks until the watch ends.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @param resourceVersion version after which events are wanted; empty for the current state first
     * @param duration time after which the API ends the watch
     * @param cancellation ends the watch early
     * @param events takes each event on the calling thread
     * @return how the watch ended
     */
    public WatchResult watch(
            String kind,
            String name,
            String resourceVersion,
            Duration duration,
            Cancellation cancellation,
            Consumer<WatchEvent> events) {
        long waitMillis = bucket.reserve(nowMillis.getAsLong(), timeout.toMillis());
        if (waitMillis < 0 || !pause(waitMillis)) {
            return new WatchResult.RateLimited(timeout);
        }
        String query = "?watch=true&fieldSelector=metadata.name%3D" + encoded(name)
                + (resourceVersion.isEmpty() ? "" : "&resourceVersion=" + encoded(resourceVersion))
                + "&timeoutSeconds=" + Math.max(1, duration.toSeconds());
        ExchangeResult<WatchResult> exchange = http.exchange(
                new HttpGet(base + OBJECTS + kind + query),
                duration.plus(timeout),
                cancellation,
                SendGate.OPEN,
                response -> WatchReader.read(kind, response, events));
        return switch (exchange) {
            case ExchangeResult.Completed<WatchResult>(WatchResult end) -> end;
            case ExchangeResult.NotSent<WatchResult>(String detail, boolean refused) -> new WatchResult.Broken(detail);
            case ExchangeResult.Broken<WatchResult>(String detail, boolean expired) -> new WatchResult.Broken(detail);
            case ExchangeResult.Cancelled<WatchResult>() -> new WatchResult.TimedOut();
        };
    }

    @Override
    public void close() {
        http.close();
    }

    private static StoreResult<PlatformObject> objectAnswer(String kind, BufferedResponse answer) {
        return StoreResultMapper.fromResponse(answer, true, tree -> ObjectCodec.decode(kind, tree));
    }

    private <T> StoreResult<T> call(HttpUriRequestBase request, AnswerReader<T> reader) {
        long waitMillis = bucket.reserve(nowMillis.getAsLong(), timeout.toMillis());
        if (waitMillis < 0 || !pause(waitMillis)) {
            return new StoreResult.RateLimited<>(timeout);
        }
        boolean write = !request.getMethod().equals(HttpGet.METHOD_NAME);
        ExchangeResult<BufferedResponse> exchange = http.exchange(request, timeout, BufferedResponse::read);
        return switch (exchange) {
            case ExchangeResult.Completed<BufferedResponse>(BufferedResponse answer) -> readsOnly(write, reader.read(answer));
            case ExchangeResult.NotSent<BufferedResponse>(String detail, boolean refused) -> new StoreResult.Unavailable<>(detail);
            case ExchangeResult.Broken<BufferedResponse>(String detail, boolean expired) ->
                write ? new StoreResult.Ambiguous<>(detail) : new StoreResult.Unavailable<>(detail);
            case ExchangeResult.Cancelled<BufferedResponse>() -> new StoreResult.Unavailable<>("cancelled");
        };
    }

    private static <T> StoreResult<T> readsOnly(boolean write, StoreResult<T> result) {
        if (!write && result instanceof StoreResult.Ambiguous<T>(String detail)) {
            return new StoreResult.Unavailable<>(detail);
        }
        return result;
    }

    private static boolean pause(long millis) {
        try {
            Thread.sleep(millis);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static ByteArrayEntity body(PlatformObject object) {
        return new ByteArrayEntity(Json.bytes(ObjectCodec.encode(object)), ContentType.APPLICATION_JSON);
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Turns an answer into a typed result. */
    private interface AnswerReader<T> {
        StoreResult<T> read(BufferedResponse answer);
    }
}
