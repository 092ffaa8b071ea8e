package io.sesamehead.standin.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.standin.Json;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** VM list of the platform. Each change becomes visible after a configurable lag. */
final class NodeList {
    private static final String LABEL_PREFIX = "sesamehead.io/";

    private final long lagMillis;
    private final Map<String, ObjectNode> nodes = new TreeMap<>();

    NodeList(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    /** Adds or replaces a VM; the description uses the short field names of the admin call. */
    void put(String name, ObjectNode description) {
        ObjectNode node = Json.object();
        ObjectNode metadata = node.putObject("metadata").put("name", name);
        metadata.putObject("labels")
                .put(
                        LABEL_PREFIX + "failure-domain",
                        description.path("failureDomain").asText())
                .put(
                        LABEL_PREFIX + "fabric-domain",
                        description.path("fabricDomain").asText())
                .put(
                        LABEL_PREFIX + "accelerators",
                        description.path("accelerators").asText("1"))
                .put(
                        LABEL_PREFIX + "accelerator-memory-gb",
                        description.path("acceleratorMemoryGb").asText("80"));
        metadata.putObject("annotations")
                .put(
                        LABEL_PREFIX + "engine-address",
                        description.path("engineAddress").asText());
        node.putObject("spec").put("unschedulable", description.path("leaving").asBoolean(false));
        applyAfterLag(visible -> visible.put(name, node));
    }

    void markLeaving(String name) {
        applyAfterLag(visible -> visible.computeIfPresent(name, (key, node) -> {
            ObjectNode leaving = node.deepCopy();
            leaving.withObject("/spec").put("unschedulable", true);
            return leaving;
        }));
    }

    void remove(String name) {
        applyAfterLag(visible -> visible.remove(name));
    }

    /** Lists the VMs whose labels match a {@code name=value} selector; an empty selector matches all. */
    synchronized ObjectNode toJson(String labelSelector) {
        ObjectNode list = Json.object().put("apiVersion", "v1").put("kind", "NodeList");
        ArrayNode items = list.putArray("items");
        int separator = labelSelector.indexOf('=');
        nodes.values().stream()
                .filter(node -> separator < 0
                        || node.path("metadata")
                                .path("labels")
                                .path(labelSelector.substring(0, separator))
                                .asText()
                                .equals(labelSelector.substring(separator + 1)))
                .forEach(items::add);
        return list;
    }

    private void applyAfterLag(Consumer<Map<String, ObjectNode>> update) {
        if (lagMillis == 0) {
            apply(update);
            return;
        }
        Thread.startVirtualThread(() -> {
            try {
                Thread.sleep(lagMillis);
                apply(update);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private synchronized void apply(Consumer<Map<String, ObjectNode>> update) {
        update.accept(nodes);
    }
}
