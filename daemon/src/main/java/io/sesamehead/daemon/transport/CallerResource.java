package io.sesamehead.daemon.transport;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.daemon.protocol.CompletionBody;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.ProblemDocument;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HttpMethod;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.tinylog.Logger;

/** The caller interface: completions and calls to plain services. */
@Path("/v1/services/{service}")
public final class CallerResource {
    private static final String CALLS = "/calls/";

    private final CallHandler handler;
    private final int maxBodyBytes;
    private final Supplier<RequestId> requestIds;
    private final LongSupplier nowMillis;

    /**
     * Creates the resource.
     *
     * @param handler runs the calls
     * @param maxBodyBytes largest request body, in bytes
     * @param requestIds draws identifiers for requests that have none
     * @param nowMillis monotonic clock, in milliseconds
     */
    public CallerResource(
            CallHandler handler, int maxBodyBytes, Supplier<RequestId> requestIds, LongSupplier nowMillis) {
        this.handler = handler;
        this.maxBodyBytes = maxBodyBytes;
        this.requestIds = requestIds;
        this.nowMillis = nowMillis;
    }

    /**
     * Runs a completion, as server-sent events or as one JSON answer.
     *
     * @param service name of the service
     * @param http the request
     * @param response the response, to which events are written directly
     * @param body the body
     * @return the answer, or null when it was streamed
     * @throws IOException if the body cannot be read
     */
    @POST
    @Path("completions")
    public Response complete(
            @PathParam("service") String service,
            @Context HttpServletRequest http,
            @Context HttpServletResponse response,
            InputStream body)
            throws IOException {
        RequestId request = requestIds.get();
        try {
            request = CallHeaders.requestId(http, requestIds);
            byte[] content = content(body);
            CallHeaders headers = CallHeaders.read(http, request);
            CallContext call = context(http, headers, service, content);
            CompletionBody completion = CompletionBody.decode(content);
            return completion.stream()
                    ? stream(call, completion, response)
                    : whole(call, handler.complete(call, completion, (index, text) -> true));
        } catch (CallHeaders.InvalidHeaderException e) {
            return error(request, e.kind(), e.getMessage());
        } catch (BodyTooLargeException e) {
            return ProblemResponses.closing(new ProblemDocument(ErrorKind.BODY_TOO_LARGE, e.getMessage(), request));
        } catch (MalformedMessageException e) {
            return error(request, ErrorKind.BAD_JSON, e.getMessage());
        }
    }

    /**
     * Runs a GET call to a plain service.
     *
     * @param service name of the service
     * @param http the request; a body is ignored
     * @return the answer
     * @throws IOException if the body cannot be read
     */
    @GET
    @Path("calls/{path: .+}")
    public Response get(@PathParam("service") String service, @Context HttpServletRequest http) throws IOException {
        return call(service, http, InputStream.nullInputStream());
    }

    /**
     * Runs a POST call to a plain service.
     *
     * @param service name of the service
     * @param http the request
     * @param body the body
     * @return the answer
     * @throws IOException if the body cannot be read
     */
    @POST
    @Path("calls/{path: .+}")
    public Response post(@PathParam("service") String service, @Context HttpServletRequest http, InputStream body)
            throws IOException {
        return call(service, http, body);
    }

    /**
     * Runs a PUT call to a plain service.
     *
     * @param service name of the service
     * @param http the request
     * @param body the body
     * @return the answer
     * @throws IOException if the body cannot be read
     */
    @PUT
    @Path("calls/{path: .+}")
    public Response put(@PathParam("service") String service, @Context HttpServletRequest http, InputStream body)
            throws IOException {
        return call(service, http, body);
    }

    private Response call(String service, HttpServletRequest http, InputStream body) throws IOException {
        RequestId request = requestIds.get();
        try {
            request = CallHeaders.requestId(http, requestIds);
            byte[] content = content(body);
            if (http.getMethod().equals(HttpMethod.HEAD) || !isUri(path(http))) {
                return error(request, ErrorKind.UNKNOWN_PATH, "no call has this path and method");
            }
            CallHeaders headers = CallHeaders.read(http, request);
            CallContext call = context(http, headers, service, content);
            PlainCall plain = new PlainCall(
                    http.getMethod(),
                    path(http),
                    Optional.ofNullable(http.getContentType()).orElse(""),
                    content);
            return whole(call, handler.call(call, plain));
        } catch (CallHeaders.InvalidHeaderException e) {
            return error(request, e.kind(), e.getMessage());
        } catch (BodyTooLargeException e) {
            return ProblemResponses.closing(new ProblemDocument(ErrorKind.BODY_TOO_LARGE, e.getMessage(), request));
        }
    }

    private Response stream(CallContext call, CompletionBody completion, HttpServletResponse response) {
        ServerSentEventWriter events = new ServerSentEventWriter(response);
        response.setHeader(CallHeaders.REQUEST_ID, call.request().value());
        CallResponse answer;
        try {
            answer = handler.complete(call, completion, events);
        } catch (RuntimeException e) {
            Logger.error(e, "daemon: request {} failed", call.request());
            answer = new CallResponse.Failed(ErrorKind.INTERNAL, "internal error", OptionalLong.empty());
        }
        if (!events.started() && answer instanceof CallResponse.Completed completed) {
            return Response.ok(ServerSentEventWriter.encode(completed), ServerSentEventWriter.MEDIA_TYPE)
                    .build();
        }
        if (!events.started()) {
            return whole(call, answer);
        }
        switch (answer) {
            case CallResponse.Completed completed -> events.finish(completed);
            case CallResponse.Failed(ErrorKind kind, String detail, OptionalLong retry) ->
                events.writeError(new ProblemDocument(kind, detail, call.request()));
            case CallResponse.Body ignored -> throw new IllegalStateException("a completion has no plain answer");
        }
        return null;
    }

    private static Response whole(CallContext call, CallResponse answer) {
        return switch (answer) {
            case CallResponse.Completed(int count, String finish, ImmutableList<String> tokens) ->
                Response.ok(completionJson(count, finish, tokens), MediaType.APPLICATION_JSON)
                        .header(CallHeaders.REQUEST_ID, call.request().value())
                        .build();
            case CallResponse.Body(int status, String contentType, byte[] content) -> {
                Response.ResponseBuilder builder = Response.status(status)
                        .entity(content)
                        .header(CallHeaders.REQUEST_ID, call.request().value());
                if (!contentType.isEmpty()) {
                    builder.header(HttpHeaders.CONTENT_TYPE, contentType);
                }
                yield builder.build();
            }
            case CallResponse.Failed(ErrorKind kind, String detail, OptionalLong retryAfterMillis) ->
                ProblemResponses.response(new ProblemDocument(kind, detail, call.request()), retryAfterMillis);
        };
    }

    private static byte[] completionJson(int count, String finish, ImmutableList<String> tokens) {
        return Json.bytes(Json.object()
                .put("text", String.join("", tokens))
                .put("count", count)
                .put("finish", finish));
    }

    private static Response error(RequestId request, ErrorKind kind, String detail) {
        return ProblemResponses.response(new ProblemDocument(kind, detail, request), OptionalLong.empty());
    }

    private CallContext context(HttpServletRequest http, CallHeaders headers, String service, byte[] content) {
        long now = nowMillis.getAsLong();
        String query = http.getQueryString() == null ? "" : "?" + http.getQueryString();
        return new CallContext(
                headers.request(),
                new ServiceName(service),
                headers.account(),
                headers.key(),
                headers.nonIdempotent(),
                now,
                now + headers.deadlineMillis(),
                headers.priority(),
                Fingerprint.of(http.getMethod(), http.getRequestURI() + query, content));
    }

    private static String path(HttpServletRequest http) {
        String uri = http.getRequestURI();
        String path = uri.substring(uri.indexOf(CALLS) + CALLS.length());
        return http.getQueryString() == null ? path : path + "?" + http.getQueryString();
    }

    /** The server accepts characters in a path that the client for the upstream does not. */
    private static boolean isUri(String path) {
        try {
            return !new URI("/" + path).isOpaque();
        } catch (URISyntaxException e) {
            return false;
        }
    }

    /** Read before anything is answered: the server closes a connection whose request was not read to its end. */
    private byte[] content(InputStream body) throws IOException, BodyTooLargeException {
        byte[] content = body.readNBytes(maxBodyBytes + 1);
        if (content.length > maxBodyBytes) {
            throw new BodyTooLargeException("the body is larger than " + maxBodyBytes + " bytes");
        }
        return content;
    }

    /** The body exceeds the limit. */
    private static final class BodyTooLargeException extends Exception {
        private static final long serialVersionUID = 1L;

        BodyTooLargeException(String message) {
            super(message);
        }
    }
}
