package io.sesamehead.daemon.transport;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.health.HealthCheck;
import com.codahale.metrics.health.HealthCheckRegistry;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jackson.Jackson;
import io.dropwizard.jersey.validation.Validators;
import io.dropwizard.jetty.GzipHandlerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.request.logging.RequestLogFactory;
import io.dropwizard.util.Duration;
import jakarta.servlet.Servlet;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.server.RequestLog;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** The caller port and the admin port of a daemon: a Dropwizard server that is configured in code. */
public final class DaemonHttpServer implements AutoCloseable {
    private static final String NAME = "sesamehead";

    /** A caller that does not read its answer, or a connection without a request, is closed after this time. */
    private static final Duration IDLE_TIMEOUT = Duration.seconds(60);

    private static final int ACCEPTORS = 1;
    private static final int SELECTORS = 1;

    private final Server server;

    /**
     * Creates ports that do not listen yet.
     *
     * @param caller address of the caller port
     * @param admin address of the admin port
     * @param metrics registry that {@code /metrics} shows
     * @param resources resources and mappers of the caller port
     * @param adminServlets servlets of the admin port by path
     */
    public DaemonHttpServer(
            InetSocketAddress caller,
            InetSocketAddress admin,
            MetricRegistry metrics,
            List<Object> resources,
            Map<String, Servlet> adminServlets) {
        Environment environment = new Environment(
                NAME,
                Jackson.newMinimalObjectMapper(),
                Validators.newValidatorFactory(),
                metrics,
                DaemonHttpServer.class.getClassLoader(),
                new HealthCheckRegistry(),
                new Configuration());
        environment.healthChecks().register("process", new ProcessCheck());
        resources.forEach(environment.jersey()::register);
        adminServlets.forEach(
                (path, servlet) -> environment.admin().addServlet(path, servlet).addMapping(path));
        DefaultServerFactory factory = new DefaultServerFactory();
        factory.setApplicationConnectors(List.of(connector(caller)));
        factory.setAdminConnectors(List.of(connector(admin)));
        factory.setRegisterDefaultExceptionMappers(false);
        factory.setRequestLogFactory(new NoRequestLog());
        factory.setEnableVirtualThreads(true);
        factory.setEnableThreadNameFilter(false);
        factory.setShutdownGracePeriod(Duration.milliseconds(0));
        GzipHandlerFactory gzip = new GzipHandlerFactory();
        gzip.setEnabled(false);
        factory.setGzipFilterFactory(gzip);
        factory.configure(environment);
        this.server = factory.build(environment);
    }

    /**
     * Binds both ports and serves.
     *
     * @throws IllegalStateException if a port cannot be bound
     */
    public void start() {
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("the caller port or the admin port cannot be bound: " + e.getMessage(), e);
        }
    }

    /**
     * Returns the bound port for callers.
     *
     * @return the port
     */
    public int callerPort() {
        return port("application");
    }

    /**
     * Returns the bound port for operators.
     *
     * @return the port
     */
    public int adminPort() {
        return port("admin");
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the HTTP ports cannot be closed", e);
        }
    }

    private int port(String connectorName) {
        for (var connector : server.getConnectors()) {
            if (connectorName.equals(connector.getName()) && connector instanceof ServerConnector network) {
                return network.getLocalPort();
            }
        }
        throw new IllegalStateException("no connector " + connectorName);
    }

    private static HttpConnectorFactory connector(InetSocketAddress address) {
        HttpConnectorFactory factory = new HttpConnectorFactory();
        factory.setBindHost(address.getHostString());
        factory.setPort(address.getPort());
        factory.setIdleTimeout(IDLE_TIMEOUT);
        factory.setAcceptorThreads(Optional.of(ACCEPTORS));
        factory.setSelectorThreads(Optional.of(SELECTORS));
        return factory;
    }

    /** Reports that the process runs; readiness has a path of its own. */
    private static final class ProcessCheck extends HealthCheck {
        @Override
        protected Result check() {
            return Result.healthy();
        }
    }

    /** Calls are counted, not logged one by one. */
    private static final class NoRequestLog implements RequestLogFactory<RequestLog> {
        @Override
        public boolean isEnabled() {
            return false;
        }

        @Override
        public RequestLog build(String name) {
            return (request, response) -> {};
        }
    }
}
