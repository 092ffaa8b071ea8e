package io.sesamehead.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Map;
import java.util.TreeMap;

/** Processor time of the live threads by the first part of their names. */
final class ThreadTimes {
    private ThreadTimes() {}

    static Map<String, Long> byGroup() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Map<String, Long> result = new TreeMap<>();
        for (Thread thread : Thread.getAllStackTraces().keySet()) {
            long nanos = threads.getThreadCpuTime(thread.threadId());
            if (nanos > 0) {
                result.merge(group(thread.getName()), nanos, Long::sum);
            }
        }
        return result;
    }

    /** Returns the name up to the first digit or separator. */
    static String group(String name) {
        int end = 0;
        while (end < name.length() && Character.isLetter(name.charAt(end))) {
            end++;
        }
        return end == 0 ? "unnamed" : name.substring(0, end);
    }
}
