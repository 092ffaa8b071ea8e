import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Configurations of a small deployment. */
final class Config {
    static final String HOST = "desk.example";
    static final String KEY = "key-1";

    private Config() {}

    static Map<String, Object> route(String name, String prefix, String kind, String service, int timeoutMillis) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", HOST);
        route.put("path_prefix", prefix);
        route.put("kind", kind);
        route.put("timeout_ms", timeoutMillis);
        route.put("goal_ms", 300);
        route.put("priority", 2);
        route.put("service", service);
        route.put("max_attempts", kind.equals("unsafe") ? 1 : 2);
        route.put("public", false);
        route.put("resumable", kind.equals("stream"));
        return route;
    }

    static Map<String, Object> of(long version, List<Map<String, Object>> routes, List<Map<String, Object>> services) {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("max_header_bytes", 16_384);
        limits.put("max_body_bytes", 4_194_304);
        limits.put("header_timeout_ms", 3_000);
        limits.put("idle_timeout_ms", 15_000);
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", version);
        config.put("routes", new ArrayList<>(routes));
        config.put("services", new ArrayList<>(services));
        config.put("limits", limits);
        config.put("tenants", List.of(tenant("t1", KEY)));
        return config;
    }

    static Map<String, Object> tenant(String name, String key) {
        return Map.of("name", name, "api_keys", List.of(key), "priority", 1);
    }

    static Map<String, Object> plainService(String name) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", name);
        service.put("health_path", "/health");
        service.put("max_conns", 192);
        return service;
    }
}
