package io.sesamehead.daemon.transport;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import javax.net.ssl.SSLSocket;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.cookie.CookieSpecFactory;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Lookup;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.http.io.HttpClientResponseHandler;
import org.apache.hc.core5.http.io.HttpResponseInformationCallback;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * HTTP client with a connection pool. It never retries a request on its own and reports whether a request may have been
 * sent.
 */
public final class PooledHttpClient implements AutoCloseable {
    /** Pooled connections that were idle for this time are validated before reuse, so that fewer requests fail on a dead connection. */
    private static final TimeValue VALIDATE_AFTER_IDLE = TimeValue.ofMilliseconds(100);

    /**
     * Replaces the default cookie specifications: their list of public domains takes several MB of heap and is not used. The
     * default TLS trust store is avoided for the same reason.
     */
    private static final Lookup<CookieSpecFactory> NO_COOKIES = name -> null;

    private static final String MAY_BE_SENT = "sesamehead.may-be-sent";
    private static final String GATE = "sesamehead.gate";

    private final CloseableHttpClient client;
    private final ScheduledExecutorService timers;

    /**
     * Creates a client; no connection is opened yet.
     *
     * @param maxConnections maximum total number of connections
     * @param maxPerAddress maximum number of connections to one address
     * @param connectTimeout timeout for opening a connection
     */
    public PooledHttpClient(int maxConnections, int maxPerAddress, Duration connectTimeout) {
        PoolingHttpClientConnectionManager pool = PoolingHttpClientConnectionManagerBuilder.create()
                .setMaxConnTotal(maxConnections)
                .setMaxConnPerRoute(maxPerAddress)
                .setTlsSocketStrategy(PooledHttpClient::refuseTls)
                .setDefaultConnectionConfig(ConnectionConfig.custom()
                        .setConnectTimeout(Timeout.of(connectTimeout))
                        .setValidateAfterInactivity(VALIDATE_AFTER_IDLE)
                        .build())
                .build();
        this.client = HttpClients.custom()
                .setConnectionManager(pool)
                .setRequestExecutor(new SendRecordingExecutor())
                .setDefaultCookieSpecRegistry(NO_COOKIES)
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableAuthCaching()
                .disableContentCompression()
                .build();
        this.timers = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("http-deadlines").factory());
    }

    private static SSLSocket refuseTls(Socket socket, String target, int port, Object attachment, HttpContext context)
            throws IOException {
        throw new IOException("TLS is not supported; target: " + target);
    }

    /**
     * Sends a request without a gate or cancellation.
     *
     * @param <T> type of the result of the handler
     * @param request the request
     * @param deadline time remaining for the whole exchange
     * @param handler reads the response
     * @return the result of the exchange
     */
    <T> ExchangeResult<T> exchange(
            HttpUriRequestBase request, Duration deadline, HttpClientResponseHandler<T> handler) {
        return exchange(request, deadline, new Cancellation(), SendGate.OPEN, handler);
    }

    /**
     * Sends a request and handles its response before the deadline.
     *
     * @param <T> type of the result of the handler
     * @param request the request
     * @param deadline time remaining for the whole exchange
     * @param cancellation cancels the exchange
     * @param gate checked immediately before the first byte is sent
     * @param handler reads the response; it must throw an exception if it stops before the end of the body
     * @return the result of the exchange
     */
    <T> ExchangeResult<T> exchange(
            HttpUriRequestBase request,
            Duration deadline,
            Cancellation cancellation,
            SendGate gate,
            HttpClientResponseHandler<T> handler) {
        AtomicBoolean expired = new AtomicBoolean();
        HttpClientContext context = HttpClientContext.create();
        context.setAttribute(GATE, gate);
        request.setConfig(config(deadline));
        Runnable abort = request::cancel;
        ScheduledFuture<?> timer;
        try {
            timer = timers.schedule(() -> expire(request, expired), deadline.toMillis(), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            return new ExchangeResult.NotSent<>("the client is closed", false);
        }
        cancellation.onCancel(abort);
        try {
            return new ExchangeResult.Completed<>(client.execute(request, context, handler));
        } catch (IOException | RuntimeException e) {
            // The response timeout equals the deadline and can expire just before the timer.
            boolean late = expired.get() || e instanceof SocketTimeoutException;
            return failure(e, context, late, cancellation);
        } finally {
            timer.cancel(false);
            cancellation.remove(abort);
        }
    }

    private static void expire(HttpUriRequestBase request, AtomicBoolean expired) {
        expired.set(true);
        request.cancel();
    }

    private static <T> ExchangeResult<T> failure(
            Exception cause, HttpContext context, boolean expired, Cancellation cancellation) {
        if (cancellation.cancelled()) {
            return new ExchangeResult.Cancelled<>();
        }
        boolean mayBeSent = context.getAttribute(MAY_BE_SENT) != null;
        String detail = cause.getClass().getSimpleName() + ": " + cause.getMessage();
        return mayBeSent
                ? new ExchangeResult.Broken<>(detail, expired)
                : new ExchangeResult.NotSent<>(detail, cause instanceof ConnectException);
    }

    private static RequestConfig config(Duration deadline) {
        Timeout limit = Timeout.ofMilliseconds(Math.max(1, deadline.toMillis()));
        return RequestConfig.custom()
                .setConnectionRequestTimeout(limit)
                .setResponseTimeout(limit)
                .build();
    }

    @Override
    public void close() {
        timers.shutdownNow();
        client.close(CloseMode.IMMEDIATE);
    }

    /** Records in the context that a request may have been sent, immediately before its first byte is written. */
    private static final class SendRecordingExecutor extends HttpRequestExecutor {
        @Override
        public ClassicHttpResponse execute(
                ClassicHttpRequest request,
                HttpClientConnection connection,
                HttpResponseInformationCallback informationCallback,
                HttpContext context)
                throws IOException, HttpException {
            if (!((SendGate) context.getAttribute(GATE)).maySend()) {
                throw new InterruptedIOException("the attempt ended before the request was sent");
            }
            context.setAttribute(MAY_BE_SENT, Boolean.TRUE);
            return super.execute(request, connection, informationCallback, context);
        }
    }
}
