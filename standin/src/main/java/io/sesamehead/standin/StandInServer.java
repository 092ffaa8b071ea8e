package io.sesamehead.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server of a stand-in. It can be stopped and restarted on the same port. */
public final class StandInServer implements AutoCloseable {
    private static final int BACKLOG = 1024;

    static {
        // Without these properties, the JDK server delays small writes by up to 40 ms and closes idle connections
        // beyond 200 or after 30 s, which a client with a connection pool sees as a lost response.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
        System.setProperty("sun.net.httpserver.idleInterval", "600");
    }

    private final String host;
    private final Handler handler;
    private int port;
    private HttpServer server;
    private ExecutorService executor;

    /** Handles a call, or throws an exception to close the connection with a missing or incomplete response. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Handles a call.
         *
         * @param call the call
         * @throws IOException to close the connection without completing the response
         * @throws InterruptedException if the server is stopped
         */
        void handle(Call call) throws IOException, InterruptedException;
    }

    /**
     * Creates a server without starting it.
     *
     * @param host address to bind
     * @param port port to bind, 0 for any free port
     * @param handler handler of the calls, invoked on a virtual thread per call
     */
    public StandInServer(String host, int port, Handler handler) {
        this.host = host;
        this.port = port;
        this.handler = handler;
    }

    /**
     * Binds the port and starts serving; after a stop, binds the same port again.
     *
     * @throws IOException if the port cannot be bound
     */
    public synchronized void start() throws IOException {
        HttpServer created = HttpServer.create(new InetSocketAddress(host, port), BACKLOG);
        executor = Executors.newVirtualThreadPerTaskExecutor();
        created.setExecutor(executor);
        created.createContext("/", this::serve);
        created.start();
        port = created.getAddress().getPort();
        server = created;
    }

    /**
     * Returns the listening address.
     *
     * @return host and bound port
     */
    public synchronized InetSocketAddress address() {
        return new InetSocketAddress(host, port);
    }

    /** Closes the listening socket and all connections immediately. */
    @Override
    public synchronized void close() {
        if (server == null) {
            return;
        }
        server.stop(0);
        executor.shutdownNow();
        server = null;
    }

    private void serve(HttpExchange exchange) throws IOException {
        Call call = new Call(exchange);
        try {
            handler.handle(call);
        } catch (JsonProcessingException e) {
            call.respond(400, Json.problem(400, "not-run", "invalid JSON: " + e.getOriginalMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the stand-in is stopping", e);
        }
    }
}
