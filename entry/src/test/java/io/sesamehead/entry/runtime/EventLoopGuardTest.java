package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a process that stays alive without an event loop and answers nothing. */
final class EventLoopGuardTest {
    @Test
    void endsProcessWhenEventLoopHasEnded() throws Exception {
        EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        CompletableFuture<Integer> exit = new CompletableFuture<>();
        new EventLoopGuard(new EventLog(new FakeClocks(0)), exit::complete).watch(loop);
        loop.submit(() -> assertThat(exit).isNotDone()).get();

        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);

        assertThat(exit.get(10, TimeUnit.SECONDS)).isEqualTo(EventLoopGuard.EXIT_CODE);
    }
}
