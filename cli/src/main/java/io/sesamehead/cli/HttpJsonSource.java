package io.sesamehead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Supplier;
import com.google.common.base.Suppliers;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.io.entity.EntityUtils;

/** Reads JSON documents over HTTP. */
public final class HttpJsonSource implements JsonSource {
    /** Connect and response timeout; a daemon that exceeds it is reported as unresponsive. */
    private static final long TIMEOUT_MILLIS = 2000;

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Opened on first use, because the HTTP client initializes its logging then and the daemon must set the log level
     * before.
     */
    private final Supplier<CloseableHttpClient> http = Suppliers.memoize(HttpJsonSource::open);

    private static CloseableHttpClient open() {
        return HttpClients.custom()
                .setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
                        .setDefaultConnectionConfig(ConnectionConfig.custom()
                                .setConnectTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                                .build())
                        .build())
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setResponseTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .build())
                .disableAutomaticRetries()
                .build();
    }

    @Override
    public JsonNode read(String url) throws IOException {
        return http.get().execute(new HttpGet(url), response -> {
            if (response.getCode() != 200) {
                throw new IOException(url + " answered with status " + response.getCode());
            }
            return JSON.readTree(EntityUtils.toByteArray(response.getEntity()));
        });
    }
}
