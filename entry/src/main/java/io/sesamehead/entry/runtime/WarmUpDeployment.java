package io.sesamehead.entry.runtime;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.sesamehead.coordination.catalog.Backend;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.coordination.catalog.CallLimits;
import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.coordination.catalog.ModelProfile;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.ServiceProfile;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.catalog.Tenant;
import io.sesamehead.coordination.dispatch.PromptPart;
import io.sesamehead.coordination.replica.MemberState;
import io.sesamehead.coordination.replica.Membership;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.entry.port.SampleHeaders;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/** The configuration, the upstreams and the calls of {@link CallWarmUp}. All upstreams have one address. */
final class WarmUpDeployment {
    static final String STREAM_PATH = "/stream/";
    static final String PLAIN_PATH = "/plain/";

    private static final ServiceName ENGINES = new ServiceName("engines");
    private static final ServiceName PLAIN = new ServiceName("plain");
    private static final String MODEL = "model";
    private static final String HOST = "localhost";
    private static final String KEY = "key";
    private static final int GROUPS = 4;
    private static final int SLOTS = 16;
    private static final int PROMPT_TOKENS = 1_000;
    private static final int BODY_BYTES = 2_000;
    /** Timeout of the routes in milliseconds, so that a call without a response ends while warming up. */
    private static final long TIMEOUT_MILLIS = 3_000;

    private static final long OBJECTIVE_MILLIS = 300;

    private WarmUpDeployment() {}

    static ServingConfig config() {
        ModelProfile model = new ModelProfile(MODEL, 1, 1, 1, 1, 1);
        EngineProfile engine = new EngineProfile(SLOTS, List.of(model), 5, 0.1, 50_000, 7, 1, 1, 1);
        return new ServingConfig(
                1,
                List.of(route(STREAM_PATH, CallKind.STREAM, ENGINES), route(PLAIN_PATH, CallKind.SAFE, PLAIN)),
                Map.of(
                        ENGINES,
                        new ServiceProfile(ENGINES, 0, Optional.of(engine)),
                        PLAIN,
                        new ServiceProfile(PLAIN, 0, Optional.empty())),
                CallLimits.DEFAULT,
                true,
                Map.of(KEY, new Tenant(new ClientAccount("warm-up"), OptionalInt.empty())));
    }

    private static Route route(String path, CallKind kind, ServiceName service) {
        return new Route(
                path,
                HOST,
                path,
                kind,
                TIMEOUT_MILLIS,
                OBJECTIVE_MILLIS,
                5,
                List.of(new Backend(service, 1)),
                2,
                false,
                true,
                Set.of());
    }

    /** Returns open groups of one member and a plain upstream at the address. */
    static List<UpstreamEntry> upstreams(Endpoint endpoint, FailureDomain failureDomain) {
        List<UpstreamEntry> entries = new ArrayList<>();
        for (int epoch = 1; epoch <= GROUPS; epoch++) {
            Membership membership = new Membership(ReplicaKey.of(MODEL, epoch), 0, MemberState.OPEN);
            entries.add(upstream("engine-" + epoch, ENGINES, endpoint, failureDomain, Optional.of(membership)));
        }
        entries.add(upstream("plain", PLAIN, endpoint, failureDomain, Optional.empty()));
        return entries;
    }

    private static UpstreamEntry upstream(
            String id,
            ServiceName service,
            Endpoint endpoint,
            FailureDomain failureDomain,
            Optional<Membership> membership) {
        List<String> models = membership.isPresent() ? List.of(MODEL) : List.of();
        return new UpstreamEntry(
                new InstanceId(id),
                1,
                1,
                service,
                endpoint,
                failureDomain,
                SLOTS,
                false,
                "",
                models,
                models,
                membership);
    }

    /** Returns the request of a call. */
    static FullHttpRequest call(SampleHeaders samples, String path, String requestId, boolean keepAlive) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, path + "x", Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
        request.headers()
                .set(HttpHeaderNames.HOST, HOST)
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
        if (!keepAlive) {
            request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        CallMetadata call = new CallMetadata(
                requestId,
                OptionalLong.of(TIMEOUT_MILLIS),
                Optional.of(KEY),
                Optional.of(MODEL),
                PROMPT_TOKENS,
                ImmutableList.of(new PromptPart("part")),
                Optional.empty());
        samples.writeCall(request.headers(), call);
        return request;
    }
}
