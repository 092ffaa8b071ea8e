package io.sesamehead.cli;

import com.google.common.collect.ImmutableList;
import io.sesamehead.cli.operator.DaemonStatus;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Reads the status of all daemons concurrently, so that an unresponsive daemon does not delay the others. */
final class DaemonStatusReader {
    private DaemonStatusReader() {}

    static ImmutableList<DaemonStatus> read(JsonSource source, List<String> addresses) throws InterruptedException {
        ImmutableList.Builder<DaemonStatus> result = ImmutableList.builder();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<DaemonStatus>> answers = new ArrayList<>();
            for (String address : addresses) {
                answers.add(threads.submit(() -> read(source, address)));
            }
            for (Future<DaemonStatus> answer : answers) {
                result.add(answer.get());
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("reading a status reports its errors in the status", e);
        }
        return result.build();
    }

    private static DaemonStatus read(JsonSource source, String address) throws InterruptedException {
        try {
            return DaemonStatus.of(address, source.read("http://" + address + "/status"), ready(source, address));
        } catch (IOException e) {
            return DaemonStatus.unresponsive(address, String.valueOf(e.getMessage()));
        }
    }

    private static boolean ready(JsonSource source, String address) throws InterruptedException {
        try {
            source.read("http://" + address + "/ready");
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
