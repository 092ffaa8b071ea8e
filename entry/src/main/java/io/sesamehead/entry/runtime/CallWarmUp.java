package io.sesamehead.entry.runtime;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.SampleHeaders;
import io.sesamehead.entry.transport.ExchangeListener;
import io.sesamehead.entry.transport.HttpConnectionPool;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Runs calls through the code of the call path before callers need it. On a small VM, the first calls of a process
 * otherwise wait until their code is initialized and compiled. The calls go from this process to itself, through a daemon
 * that is never started: they reach no upstream and no other daemon, and count in no metric.
 */
final class CallWarmUp {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String TASK = "warm-up";
    /** Number of calls. Together their streams have enough events for the code of events to be compiled. */
    private static final int CALLS = 60;
    /** Time after which no further call is sent, in milliseconds. */
    private static final long MAX_DURATION_MILLIS = 12_000;
    /** Pause between two calls in milliseconds, in which the event loop runs what is due. */
    private static final long PAUSE_MILLIS = 20;
    /** Pause while calls of callers are open, in milliseconds. */
    private static final long BUSY_PAUSE_MILLIS = 200;

    private static final int MAX_FAILURES = 3;
    /** One in this number of calls goes to a plain service. */
    private static final int PLAIN_CALL_INTERVAL = 4;
    /** One in this number of calls ends its connection. */
    private static final int CLOSING_CALL_INTERVAL = 3;

    private final EventLoop loop;
    private final EventLoopTasks tasks;
    private final Clocks clocks;
    private final CallPath path;
    private final FailureDomain failureDomain;
    private final CallTranslator translator;
    private final SampleHeaders samples;
    private final BooleanSupplier callsOpen;
    private final EventLog log;
    private final HttpConnectionPool callers;
    private final ChannelGroup channels;

    private long begunAtMillis;
    private volatile boolean ended;
    private Optional<Endpoint> callerEndpoint = Optional.empty();
    private Optional<Endpoint> upstreamEndpoint = Optional.empty();
    private volatile int calls;
    private int failures;

    /**
     * Creates a warm-up; {@link #begin} starts it.
     *
     * @param path call path of a daemon on the same event loop that is never started
     * @param callsOpen whether calls of callers are open, during which the warm-up pauses
     */
    CallWarmUp(
            EventLoop loop,
            Clocks clocks,
            CallPath path,
            FailureDomain failureDomain,
            CallTranslator translator,
            SampleHeaders samples,
            BooleanSupplier callsOpen,
            EventLog log) {
        this.loop = loop;
        this.tasks = new EventLoopTasks(loop, log);
        this.clocks = clocks;
        this.path = path;
        this.failureDomain = failureDomain;
        this.translator = translator;
        this.samples = samples;
        this.callsOpen = callsOpen;
        this.log = log;
        this.callers = new HttpConnectionPool(loop, clocks, peer -> {});
        this.channels = new DefaultChannelGroup(loop, true);
    }

    /** Starts the calls. Must be called once. */
    void begin() {
        begunAtMillis = clocks.steadyMillis();
        listen(
                channel -> channel.pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new WarmUpUpstream(loop, translator, samples)),
                endpoint -> upstreamEndpoint = Optional.of(endpoint));
        listen(path.callerServer()::accept, endpoint -> callerEndpoint = Optional.of(endpoint));
    }

    /** Returns the number of calls sent so far. */
    int calls() {
        return calls;
    }

    /** Returns whether no further call is sent. */
    boolean hasEnded() {
        return ended;
    }

    private void listen(Consumer<Channel> onAccept, Consumer<Endpoint> onBound) {
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channels.add(channel);
                        onAccept.accept(channel);
                    }
                })
                .bind(LOOPBACK, 0)
                .addListener((ChannelFuture bound) -> {
                    if (!bound.isSuccess()) {
                        end(String.valueOf(bound.cause()));
                        return;
                    }
                    channels.add(bound.channel());
                    InetSocketAddress address =
                            (InetSocketAddress) bound.channel().localAddress();
                    onBound.accept(new Endpoint(LOOPBACK, address.getPort()));
                    tasks.run(TASK, this::beginCallsIfBound, () -> end("failed"));
                });
    }

    private void beginCallsIfBound() {
        if (callerEndpoint.isPresent() && upstreamEndpoint.isPresent()) {
            path.setDeployment(
                    WarmUpDeployment.config(),
                    WarmUpDeployment.upstreams(upstreamEndpoint.get(), failureDomain),
                    clocks);
            scheduleNext(PAUSE_MILLIS);
        }
    }

    private void scheduleNext(long delayMillis) {
        tasks.schedule(TASK, this::next, delayMillis, () -> end("failed"));
    }

    private void next() {
        if (calls >= CALLS) {
            end("complete");
        } else if (failures >= MAX_FAILURES) {
            end("failed");
        } else if (clocks.steadyMillis() - begunAtMillis > MAX_DURATION_MILLIS) {
            end("out of time");
        } else if (callsOpen.getAsBoolean()) {
            scheduleNext(BUSY_PAUSE_MILLIS);
        } else {
            call();
        }
    }

    private void call() {
        calls++;
        path.activeConfig().confirm(clocks.bootMillis());
        String target = calls % PLAIN_CALL_INTERVAL == 0 ? WarmUpDeployment.PLAIN_PATH : WarmUpDeployment.STREAM_PATH;
        boolean keepAlive = calls % CLOSING_CALL_INTERVAL != 0;
        callers.send(
                callerEndpoint.orElseThrow(),
                WarmUpDeployment.call(samples, target, "warm-up-" + calls, keepAlive),
                HttpConnectionPool.Freshness.ANY,
                new Caller());
    }

    private void end(String reason) {
        if (ended) {
            return;
        }
        ended = true;
        channels.close();
        log.write(
                EventLog.Component.DAEMON,
                "warmed-up",
                "reason",
                reason,
                "calls",
                calls,
                "failed",
                failures,
                "took_ms",
                clocks.steadyMillis() - begunAtMillis);
    }

    /** Receives a response; the next call follows it. */
    private final class Caller implements ExchangeListener {
        private boolean successful;

        @Override
        public Optional<String> requestId() {
            return Optional.empty();
        }

        @Override
        public boolean accepts(HttpResponse head, boolean onlyRequest) {
            return true;
        }

        @Override
        public void onHead(HttpResponse head) {
            successful = head.status().equals(HttpResponseStatus.OK);
        }

        @Override
        public void onContent(ByteBuf data) {}

        @Override
        public void onEnd() {
            if (!successful) {
                failures++;
            }
            scheduleNext(PAUSE_MILLIS);
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            failures++;
            scheduleNext(PAUSE_MILLIS);
        }
    }
}
