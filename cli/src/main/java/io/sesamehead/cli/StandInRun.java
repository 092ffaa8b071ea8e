package io.sesamehead.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;

/** What the stand-in commands have in common. */
final class StandInRun {
    private StandInRun() {}

    /** Announces the address, then waits; SIGTERM ends the process. */
    static ExitCode untilStopped(String kind, InetSocketAddress address, Console console) throws InterruptedException {
        console.print("stand-in " + kind + " listens on " + address.getHostString() + ":" + address.getPort());
        new CountDownLatch(1).await();
        return ExitCode.DONE;
    }

    static CommandFailure cannotListen(InetSocketAddress address, IOException cause) {
        return new CommandFailure(
                ExitCode.FAILED,
                "cannot listen on " + address.getHostString() + ":" + address.getPort() + ": " + cause.getMessage());
    }
}
