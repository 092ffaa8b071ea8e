package io.review;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A sound stand-in of the platform's store: linearizable, one revision counter, conditional writes, watches. Contents
 * are kept as the JSON text that was written.
 */
final class Store {
    private static final Pattern REV = Pattern.compile("\"rev\"\\s*:\\s*(\\d+)");
    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");

    private static final Pattern HOLDER = Pattern.compile("\"holder\"\\s*:\\s*\"([^\"]*)\"");

    private record Entry(String name, long rev, long created, String spec) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"rev\":" + rev + ",\"created\":" + created
                    + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    /** Time that an answer takes, as the pages state it. */
    private static final long ANSWER_MILLIS = 4;

    private record Event(String kind, long rev, boolean deleted, Entry entry) {}

    private final Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 500;
    private String lastLeaseHolder = "";
    private long leaseWrites;

    ServerSocket listen(String host, int port) throws IOException {
        return Http.serve(host, port, this::serve);
    }

    /** Writes an object without a condition, as the operator and the engines do. Returns the revision. */
    synchronized long put(String kind, String name, String spec) {
        TreeMap<String, Entry> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        Entry before = objects.get(name);
        if (before != null && before.spec().equals(spec)) {
            return before.rev();
        }
        revision++;
        Entry entry = new Entry(name, revision, before == null ? revision : before.created(), spec);
        objects.put(name, entry);
        history.add(new Event(kind, revision, false, entry));
        notifyAll();
        return revision;
    }

    /** Returns the daemon that last wrote to the store under a condition. */
    synchronized String lastLeaseHolder() {
        return lastLeaseHolder;
    }

    /** Waits until a daemon writes under a condition once more. */
    void awaitLeaseWrite() throws InterruptedException {
        long before = leaseWrites();
        while (leaseWrites() == before) {
            Thread.sleep(1);
        }
    }

    private synchronized long leaseWrites() {
        return leaseWrites;
    }

    synchronized void delete(String kind, String name) {
        Entry before = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
        if (before != null) {
            revision++;
            history.add(new Event(kind, revision, true, before));
            notifyAll();
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        InputStream in = Http.input(socket);
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            String[] first = request.first().split(" ");
            String body = new String(request.body(), StandardCharsets.UTF_8);
            String[] answer = answer(first[0], first[1], body);
            Thread.sleep(ANSWER_MILLIS);
            Http.write(
                    socket,
                    "HTTP/1.1 " + answer[0] + "\r\nContent-Type: application/json\r\n",
                    answer[1].getBytes(StandardCharsets.UTF_8));
        }
    }

    private String[] answer(String method, String target, String body) throws InterruptedException {
        String[] parts = target.split("\\?", 2);
        String[] path = parts[0].substring("/api/objects/".length()).split("/");
        Map<String, String> query = new HashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                String[] nameAndValue = pair.split("=", 2);
                query.put(nameAndValue[0], nameAndValue.length > 1 ? nameAndValue[1] : "");
            }
        }
        if (method.equals("GET") && query.containsKey("watch")) {
            return watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        synchronized (this) {
            TreeMap<String, Entry> objects = kinds.computeIfAbsent(path[0], key -> new TreeMap<>());
            if (method.equals("GET")) {
                if (path.length > 1) {
                    Entry entry = objects.get(path[1]);
                    return entry == null ? status("404 Not Found") : ok(entry.json());
                }
                List<String> items = new ArrayList<>();
                objects.tailMap(query.getOrDefault("after", ""), false).values().forEach(entry -> items.add(entry.json()));
                return ok("{\"items\":[" + String.join(",", items) + "],\"more\":false,\"store_revision\":" + revision + "}");
            }
            return write(method, path, objects, body);
        }
    }

    private String[] write(String method, String[] path, TreeMap<String, Entry> objects, String body) {
        int at = body.indexOf("\"spec\"");
        String metadata = at < 0 ? body : body.substring(0, at);
        Matcher name = NAME.matcher(metadata);
        Matcher rev = REV.matcher(metadata);
        String object = path.length > 1 ? path[1] : name.find() ? name.group(1) : "";
        Entry before = objects.get(object);
        if (method.equals("POST") && before != null) {
            return new String[] {"409 Conflict", before.json()};
        }
        if (method.equals("PUT") && before == null) {
            return status("404 Not Found");
        }
        if (rev.find() && (before == null || before.rev() != Long.parseLong(rev.group(1)))) {
            return new String[] {"409 Conflict", before == null ? "{}" : before.json()};
        }
        // The daemons write the metadata first and the content last.
        String spec = body.substring(body.indexOf(':', at) + 1, body.lastIndexOf('}')).trim();
        put(path[0], object, spec);
        Matcher holder = HOLDER.matcher(spec);
        if (path[0].endsWith("-leases") && holder.find()) {
            lastLeaseHolder = holder.group(1);
            leaseWrites++;
        }
        return ok(objects.get(object).json());
    }

    private String[] watch(String kind, long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        synchronized (this) {
            while (true) {
                List<String> events = new ArrayList<>();
                for (Event event : history) {
                    if (event.rev() > since && event.kind().equals(kind)) {
                        events.add("{\"deleted\":" + event.deleted() + ",\"object\":" + event.entry().json() + "}");
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    return ok("{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}");
                }
                wait(left);
            }
        }
    }

    private static String[] ok(String json) {
        return new String[] {"200 OK", json};
    }

    private static String[] status(String line) {
        return new String[] {line, "{}"};
    }
}
