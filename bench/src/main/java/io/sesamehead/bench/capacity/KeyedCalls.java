package io.sesamehead.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.daemon.runtime.DaemonProcess;
import io.sesamehead.daemon.transport.Addresses;
import io.sesamehead.standin.service.ServiceSettings;
import io.sesamehead.standin.service.ServiceStandIn;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Locale;

/** Store calls of keyed calls to a plain service, first and repeated ones. */
final class KeyedCalls {
    private static final int[] CALLS = {20, 60, 120};
    private static final int OK = 200;
    private static final String NOTE = """
            [release]
            note = keyed calls
            [service orders]
            kind = plain
            addresses = domain-1@%s
            non-idempotent = true
            asks-by-key = false
            refuses-repeats = false
            """;

    private final HttpClient http = HttpClient.newHttpClient();

    private KeyedCalls() {}

    static void run() throws Exception {
        try (StandIns standIns = StandIns.start(0);
                ServiceStandIn service = new ServiceStandIn(ServiceSettings.at("127.0.0.1", 0))) {
            service.start();
            String platform = Addresses.text(standIns.platform.address());
            try (Fleet fleet = new Fleet(platform)) {
                fleet.accept(NOTE.formatted(Addresses.text(service.address())));
                fleet.start(Shapes.FIRST_DOMAIN, 1);
                fleet.awaitGeneration(1);
                KeyedCalls calls = new KeyedCalls();
                PlatformAdmin admin = new PlatformAdmin(platform);
                DaemonProcess daemon = fleet.daemons.getFirst();
                Fleet.await("the service to be reachable", () -> calls.succeeds(daemon, "warm-up"));
                for (int count : CALLS) {
                    calls.print("first", daemon, admin, count);
                    calls.print("repeated", daemon, admin, count);
                }
            }
        }
    }

    private void print(String what, DaemonProcess daemon, PlatformAdmin admin, int count) throws Exception {
        JsonNode before = admin.counts();
        int answered = 0;
        for (int number = 0; number < count; number++) {
            answered += succeeds(daemon, "batch-" + count + "-" + number) ? 1 : 0;
        }
        JsonNode after = admin.counts();
        System.out.printf(
                Locale.ROOT,
                "keyed: %d %s calls, %d answered, %.2f calls of kind orders each; all kinds: %s to %s%n",
                count,
                what,
                answered,
                (double) (orders(after) - orders(before)) / count,
                before.path("calls"),
                after.path("calls"));
    }

    private static long orders(JsonNode counts) {
        return counts.path("byKind").path("orders").asLong();
    }

    private boolean succeeds(DaemonProcess daemon, String key) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(
                        "http://127.0.0.1:" + daemon.ports().callerPort() + "/v1/services/orders/calls/batch"))
                .header("X-Client-Account", "shop-1")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"tins\":12}"))
                .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == OK;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
