package io.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What was sent, answered and run, with the time since the start of the case. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();
    private final java.util.Queue<AfterDrain> afterDrain = new java.util.concurrent.ConcurrentLinkedQueue<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> finished = new ConcurrentHashMap<>();

    synchronized void line(String text) {
        lines.add(String.format("%9.3f s  %s", (System.nanoTime() - startNanos) / 1e9, text));
    }

    void ran(String attempt, String engine, int bodyBytes) {
        runs.merge(attempt, 1, Integer::sum);
        line("runs      " + attempt + " at " + engine);
    }

    void finished(String attempt) {
        finished.merge(attempt, 1, Integer::sum);
        line("has run   " + attempt);
    }

    /** A request reached an engine that has announced its leaving. */
    void afterDrain(String attempt, String engine, long millis) {
        afterDrain.add(new AfterDrain(attempt, engine, millis, System.nanoTime()));
        if (millis > 1_000) {
            line("reaches   " + attempt + " at " + engine + ", " + millis + " ms after the store acknowledged its draining");
        }
    }

    java.util.Collection<AfterDrain> afterDrain() {
        return afterDrain;
    }

    record AfterDrain(String attempt, String engine, long millis, long atNanos) {}

    int runs(String attempt) {
        return runs.getOrDefault(attempt, 0);
    }

    boolean hasFinished(String attempt) {
        return finished.containsKey(attempt);
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
