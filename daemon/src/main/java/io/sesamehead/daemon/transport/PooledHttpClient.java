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
 * Pooled HTTP connections that never repeat a request on their own and that report whether a request may have been
 * sent.
 */
public final class PooledHttpClient implements AutoCloseable {
    /** A pooled connection that was idle this long is checked before use, so that fewer requests meet a dead peer. */
    private static final TimeValue CHECK_AFTER_IDLE = TimeValue.ofMilliseconds(100);

    /** The default list of cookie domains and the default TLS trust store take several MB of heap and are not used. */
    private static final Lookup<CookieSpecFactory> NO_COOKIES = name -> null;

    private static final String MAY_BE_SENT = "sesamehead.may-be-sent";
    private static final String GATE = "sesamehead.gate";

    private final CloseableHttpClient client;
    private final ScheduledExecutorService timers;

    /**
     * Creates an empty pool.
     *
     * @param maxConnections most connections in all
     * @param maxPerAddress most connections to one address
     * @param connectTimeout longest time to open a connection
     */
    public PooledHttpClient(int maxConnections, int maxPerAddress, Duration connectTimeout) {
        PoolingHttpClientConnectionManager pool = PoolingHttpClientConnectionManagerBuilder.create()
                .setMaxConnTotal(maxConnections)
                .setMaxConnPerRoute(maxPerAddress)
                .setTlsSocketStrategy(PooledHttpClient::refuseTls)
                .setDefaultConnectionConfig(ConnectionConfig.custom()
                        .setConnectTimeout(Timeout.of(connectTimeout))
                        .setValidateAfterInactivity(CHECK_AFTER_IDLE)
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
        throw new IOException("TLS is not used towards " + target);
    }

    /**
     * Sends a request that needs no gate and cannot be cancelled.
     *
     * @param <T> result of the handler
     * @param request the request
     * @param deadline time left for the whole exchange
     * @param handler reads the response
     * @return how the exchange ended
     */
    <T> ExchangeResult<T> exchange(HttpUriRequestBase request, Duration deadline, HttpClientResponseHandler<T> handler) {
        return exchange(request, deadline, new Cancellation(), SendGate.OPEN, handler);
    }

    /**
     * Sends a request and handles its response, both before the deadline.
     *
     * @param <T> result of the handler
     * @param request the request
     * @param deadline time left for the whole exchange
     * @param cancellation signal that ends the exchange early
     * @param gate asked immediately before the first byte is sent
     * @param handler reads the response; a handler that returns before the end of the body must throw instead
     * @return how the exchange ended
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
            // The response timeout equals the deadline and can fire just before the timer does.
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

    /** Marks the context immediately before the first byte of a request is written to a connection. */
    private static final class SendRecordingExecutor extends HttpRequestExecutor {
        @Override
        public ClassicHttpResponse execute(
                ClassicHttpRequest request,
                HttpClientConnection connection,
                HttpResponseInformationCallback informationCallback,
                HttpContext context)
                throws IOException, HttpException {
            if (!((SendGate) context.getAttribute(GATE)).maySend()) {
                throw new InterruptedIOException("the attempt ended before it was sent");
            }
            context.setAttribute(MAY_BE_SENT, Boolean.TRUE);
            return super.execute(request, connection, informationCallback, context);
        }
    }
}
