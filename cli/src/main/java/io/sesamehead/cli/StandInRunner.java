package io.sesamehead.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;

/** Runs stand-ins for the stand-in commands. */
final class StandInRunner {
    private StandInRunner() {}

    /** Prints the address and blocks until SIGTERM ends the process. */
    static ExitCode untilStopped(String kind, InetSocketAddress address, Console console) throws InterruptedException {
        console.print("stand-in " + kind + " listens on " + address.getHostString() + ":" + address.getPort());
        new CountDownLatch(1).await();
        return ExitCode.DONE;
    }

    static CommandException cannotListen(InetSocketAddress address, IOException cause) {
        return new CommandException(
                ExitCode.FAILED,
                "cannot listen on " + address.getHostString() + ":" + address.getPort() + ": " + cause.getMessage());
    }
}
