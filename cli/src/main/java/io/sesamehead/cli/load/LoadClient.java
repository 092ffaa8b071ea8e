package io.sesamehead.cli.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sesamehead.state.RunState;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;

/** HTTP client that sends one attempt at a call to one daemon and verifies the answer. */
public final class LoadClient implements AutoCloseable {
    private static final long CONNECT_MILLIS = 1000;
    private static final String PROBLEM_PREFIX = "urn:sesamehead:error:";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final CloseableHttpClient http;
    private final LatencyHistograms latencies;
    private final ExpectedTokens expectedTokens;

    /**
     * Opens a client.
     *
     * @param settings limits of the run
     * @param latencies receives the token latencies
     * @param expectedTokens source of the expected answers
     */
    public LoadClient(LoadSettings settings, LatencyHistograms latencies, ExpectedTokens expectedTokens) {
        this.latencies = latencies;
        this.expectedTokens = expectedTokens;
        this.http = HttpClients.custom()
                .setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
                        .setMaxConnTotal(settings.concurrentCalls())
                        .setMaxConnPerRoute(settings.concurrentCalls())
                        .setDefaultConnectionConfig(ConnectionConfig.custom()
                                .setConnectTimeout(CONNECT_MILLIS, TimeUnit.MILLISECONDS)
                                .setSocketTimeout((int) settings.stallMillis(), TimeUnit.MILLISECONDS)
                                .build())
                        .setDefaultSocketConfig(
                                SocketConfig.custom().setTcpNoDelay(true).build())
                        .build())
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setResponseTimeout(settings.stallMillis(), TimeUnit.MILLISECONDS)
                        .build())
                // Retries are decided and counted by CallRunner, so the client must not repeat requests.
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .build();
    }

    @Override
    public void close() throws IOException {
        http.close();
    }

    /**
     * Sends an attempt and waits for its result.
     *
     * @param daemon address of the daemon
     * @param call the call
     * @param dueNanos monotonic time in nanoseconds at which the call was due; the time to the first token is measured
     *     from here
     * @param deadlineMillis remaining time of the call in milliseconds
     * @return the result of the attempt
     */
    public AttemptResult send(String daemon, CallSpec call, long dueNanos, long deadlineMillis) {
        HttpPost post = new HttpPost(uri(daemon, call));
        post.setHeader("X-Client-Account", call.account());
        post.setHeader("X-Deadline-Millis", Long.toString(deadlineMillis));
        post.setEntity(new StringEntity(body(call), ContentType.APPLICATION_JSON));
        if (call instanceof CallSpec.Order order) {
            post.setHeader("Idempotency-Key", order.key());
        }
        try {
            return http.execute(post, response -> read(response, call, dueNanos));
        } catch (ConnectException | NoRouteToHostException | ConnectTimeoutException e) {
            return new AttemptResult.Unreachable(describe(e));
        } catch (IOException e) {
            return new AttemptResult.Broken(describe(e));
        }
    }

    private static String uri(String daemon, CallSpec call) {
        String path = switch (call) {
            case CallSpec.Completion completion -> "/completions";
            case CallSpec.Order order -> "/calls/orders";
        };
        return "http://" + daemon + "/v1/services/" + call.service() + path;
    }

    private static String body(CallSpec call) {
        return switch (call) {
            case CallSpec.Completion completion ->
                JSON.createObjectNode()
                        .put("prompt", completion.prompt())
                        .put("max_tokens", completion.tokens())
                        .put("stream", completion.streaming())
                        .toString();
            case CallSpec.Order order -> order.body();
        };
    }

    private AttemptResult read(ClassicHttpResponse response, CallSpec call, long dueNanos)
            throws IOException, ParseException {
        if (response.getCode() >= 300) {
            return refusal(response);
        }
        return switch (call) {
            case CallSpec.Completion completion
            when completion.streaming() -> readStream(response, completion, dueNanos);
            case CallSpec.Completion completion -> readCompletion(response, completion);
            case CallSpec.Order order -> readOrder(response, order);
        };
    }

    private static AttemptResult refusal(ClassicHttpResponse response) throws IOException, ParseException {
        String body = response.getEntity() == null ? "" : EntityUtils.toString(response.getEntity());
        Header retryAfter = response.getFirstHeader("Retry-After");
        long retryMillis = retryAfter == null ? 0 : 1000 * Long.parseLong(retryAfter.getValue());
        return problem(body, retryMillis)
                .orElse(new AttemptResult.Broken("status " + response.getCode() + " without a problem document"));
    }

    private static Optional<AttemptResult> problem(String body, long retryAfterMillis) {
        try {
            JsonNode problem = JSON.readTree(body);
            String run = problem.path("run").asText();
            for (RunState state : RunState.values()) {
                if (state.wireName().equals(run)) {
                    String kind = problem.path("type").asText().replace(PROBLEM_PREFIX, "");
                    return Optional.of(new AttemptResult.Refused(state, kind, retryAfterMillis));
                }
            }
            return Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private AttemptResult readStream(ClassicHttpResponse response, CallSpec.Completion call, long dueNanos)
            throws IOException {
        ServerSentEventReader events = new ServerSentEventReader(
                new BufferedReader(new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8)));
        StreamVerifier verifier = new StreamVerifier(call, expectedTokens, latencies, dueNanos);
        try {
            for (Optional<ServerSentEventReader.Event> event = events.next();
                    event.isPresent();
                    event = events.next()) {
                Optional<AttemptResult> end = verifier.accept(event.get(), System.nanoTime());
                if (end.isPresent()) {
                    return end.get();
                }
            }
            return new AttemptResult.Torn(
                    "stream ended after " + verifier.receivedTokens() + " tokens without a final event");
        } catch (java.net.SocketTimeoutException e) {
            // A read timeout is not a torn stream: the daemon did not end the stream.
            return new AttemptResult.Broken("silent after " + verifier.receivedTokens() + " tokens");
        } catch (IOException e) {
            return new AttemptResult.Torn("after " + verifier.receivedTokens() + " tokens: " + describe(e));
        }
    }

    static AttemptResult errorEvent(String data) {
        return problem(data, 0).orElse(new AttemptResult.Wrong("error event without a problem document"));
    }

    private AttemptResult readCompletion(ClassicHttpResponse response, CallSpec.Completion call)
            throws IOException, ParseException {
        JsonNode answer = JSON.readTree(EntityUtils.toString(response.getEntity()));
        StringBuilder expectedText = new StringBuilder();
        int count = answer.path("count").asInt(-1);
        for (int index = 0; index < count && index < call.tokens(); index++) {
            expectedText.append(expectedTokens.token(call.prompt(), index));
        }
        if (count != call.tokens()
                || !expectedText.toString().equals(answer.path("text").asText())) {
            return new AttemptResult.Wrong("completion has " + count + " tokens: " + answer);
        }
        return new AttemptResult.Whole(expectedText.toString());
    }

    private static AttemptResult readOrder(ClassicHttpResponse response, CallSpec.Order order)
            throws IOException, ParseException {
        String answer = EntityUtils.toString(response.getEntity());
        // The service stand-in echoes the request body, and each body contains its key.
        if (!order.body().equals(JSON.readTree(answer).path("body").asText())) {
            return new AttemptResult.Wrong("answer to order " + order.key() + " is not its own: " + answer);
        }
        return new AttemptResult.Whole(answer);
    }

    private static String describe(IOException e) {
        return e.getClass().getSimpleName() + ": " + e.getMessage();
    }
}
