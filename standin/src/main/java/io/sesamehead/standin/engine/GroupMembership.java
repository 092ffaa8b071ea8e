package io.sesamehead.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.standin.Json;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * The engine's group membership and reported state. A head is ready only while its model is loaded and all members
 * respond. It becomes ready again when an unresponsive member recovers, but not if that member was restarted.
 */
final class GroupMembership {
    private final EngineSettings settings;
    private final List<ObjectNode> orders = new ArrayList<>();
    private long incarnation;
    private long highestEpoch;
    private EngineOrder current;
    private long loadId;
    private boolean loaded;
    private boolean leaving;
    private String missing = "";

    GroupMembership(EngineSettings settings) {
        this.settings = settings;
    }

    /** Effect of an order on the engine. */
    enum Effect {
        REFUSED,
        NONE,
        LOADING,
        CHANGED,
        RELEASED
    }

    /** Resets all state except the list of orders, like a process restart. */
    synchronized void restart(long newIncarnation) {
        incarnation = newIncarnation;
        highestEpoch = 0;
        current = null;
        loaded = false;
        leaving = false;
        missing = "";
        loadId++;
    }

    synchronized Effect apply(EngineOrder order) {
        Effect effect = effectOf(order);
        orders.add(Json.object()
                .put("order", order.type())
                .put("orderId", order.orderId())
                .put("epoch", order.epoch())
                .put("group", order.group())
                .put("incarnation", HexFormat.of().toHexDigits(incarnation))
                .put("effect", effect.name()));
        if (effect == Effect.REFUSED) {
            return effect;
        }
        highestEpoch = Math.max(highestEpoch, order.epoch());
        switch (effect) {
            case LOADING -> startLoading(order);
            case CHANGED -> {
                if (current.rank() != 0) {
                    missing = initialMissing(order);
                }
                current = withCurrentModel(order);
            }
            case RELEASED -> {
                current = null;
                loaded = false;
                loadId++;
            }
            default -> {}
        }
        return effect;
    }

    private Effect effectOf(EngineOrder order) {
        boolean stale = order.epoch() < highestEpoch;
        if (stale && settings.checksFencing()) {
            return Effect.REFUSED;
        }
        boolean sameGroup = current != null && current.group().equals(order.group());
        return switch (order.type()) {
            case "load" -> sameGroup && current.epoch() == order.epoch() ? Effect.NONE : Effect.LOADING;
            case "role" -> sameGroup ? Effect.CHANGED : Effect.NONE;
            case "release" -> sameGroup ? Effect.RELEASED : Effect.NONE;
            default -> Effect.NONE;
        };
    }

    private void startLoading(EngineOrder order) {
        current = order;
        loaded = false;
        missing = initialMissing(order);
        loadId++;
    }

    private static String initialMissing(EngineOrder order) {
        return order.rank() == 0 && order.members().size() > 1 ? "members have not been probed yet" : "";
    }

    private EngineOrder withCurrentModel(EngineOrder order) {
        return new EngineOrder(
                order.type(),
                order.orderId(),
                order.epoch(),
                order.group(),
                current.model(),
                current.version(),
                order.members().isEmpty() ? current.members() : order.members(),
                order.rank());
    }

    /** Returns the ID of the current load, to be passed to {@link #finishLoading}. */
    synchronized long loadId() {
        return loadId;
    }

    synchronized void finishLoading(long finishedLoadId) {
        if (finishedLoadId == loadId && current != null) {
            loaded = true;
        }
    }

    synchronized void markLeaving(boolean value) {
        leaving = value;
    }

    /** Returns the order whose members to probe; empty unless this is the loaded head of several members. */
    synchronized Optional<EngineOrder> orderToProbe() {
        boolean head = current != null && loaded && current.rank() == 0;
        return head && current.members().size() > 1 ? Optional.of(current) : Optional.empty();
    }

    /** Records the missing member (empty for none) and returns whether this ended the head's readiness. */
    synchronized boolean recordMissing(EngineOrder probedOrder, String missingMember) {
        if (!probedOrder.equals(current)) {
            return false;
        }
        boolean lostReadiness = missing.isEmpty() && !missingMember.isEmpty();
        missing = missingMember;
        return lostReadiness;
    }

    /** Returns why a completion for this group and epoch is rejected, or empty if it may run. */
    synchronized Optional<String> rejectionReason(String group, long epoch) {
        if (current == null || !current.group().equals(group) || current.epoch() != epoch) {
            return Optional.of("group or epoch is not the engine's current one");
        }
        if (current.rank() != 0) {
            return Optional.of("the engine is not the head of its group");
        }
        return state().equals("ready") ? Optional.empty() : Optional.of("the engine is " + state() + " " + missing);
    }

    private String state() {
        if (leaving) {
            return "leaving";
        }
        if (current == null) {
            return "idle";
        }
        return loaded && missing.isEmpty() ? "ready" : "loading";
    }

    synchronized ObjectNode toJson() {
        ObjectNode json = Json.object()
                .put("vm", settings.vm())
                .put("incarnation", HexFormat.of().toHexDigits(incarnation))
                .put("group", current == null ? "" : current.group())
                .put("epoch", current == null ? 0 : current.epoch())
                .put("role", current == null ? "none" : current.rank() == 0 ? "head" : "worker")
                .put("model", current == null ? "" : current.model())
                .put("version", current == null ? "" : current.version())
                .put("state", state())
                .put("missing", missing)
                .put("checksFencing", settings.checksFencing());
        ArrayNode members = json.putArray("members");
        if (current != null) {
            current.members().forEach(member -> members.add(member.vm()));
        }
        return json;
    }

    synchronized List<ObjectNode> orders() {
        return List.copyOf(orders);
    }
}
