package io.sesamehead.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates the calls of a load run and their interarrival times from a seed. Not thread-safe. */
public final class CallGenerator {
    /** Number of recent orders from which repeats are drawn; some of them are still in flight. */
    private static final int REPEAT_WINDOW = 40;

    private final LoadSettings settings;
    private final Random random;
    private final String runName;
    private final List<CallSpec.Order> previousOrders = new ArrayList<>();
    private long sequence;

    /**
     * Creates a generator.
     *
     * @param settings limits and mix of the run
     * @param runName prefix that makes the keys and prompts of this run unique among runs
     */
    public CallGenerator(LoadSettings settings, String runName) {
        this.settings = settings;
        this.runName = runName;
        this.random = new Random(settings.seed());
    }

    /**
     * Draws the interarrival time before the next call; arrivals form a Poisson process.
     *
     * @return the interarrival time in nanoseconds
     */
    public long nextInterarrivalNanos() {
        double seconds = -Math.log(1 - random.nextDouble()) / settings.callsPerSecond();
        return (long) (seconds * 1e9);
    }

    /**
     * Generates the next call.
     *
     * @return the call
     */
    public CallSpec next() {
        sequence++;
        boolean order = random.nextDouble() < settings.orderShare();
        if (settings.modelService().isEmpty()) {
            order = true;
        }
        if (settings.orderService().isEmpty()) {
            order = false;
        }
        String account =
                settings.accounts().get(random.nextInt(settings.accounts().size()));
        return order ? nextOrder(account) : nextCompletion(account);
    }

    private CallSpec.Completion nextCompletion(String account) {
        int tokens = 1 + random.nextInt(settings.tokens());
        boolean streaming = random.nextDouble() < settings.streamShare();
        String prompt = "account " + account + " run " + runName + " prompt " + sequence;
        return new CallSpec.Completion(account, settings.modelService(), prompt, tokens, streaming);
    }

    private CallSpec.Order nextOrder(String account) {
        if (!previousOrders.isEmpty() && random.nextDouble() < settings.repeatShare()) {
            int window = Math.min(REPEAT_WINDOW, previousOrders.size());
            CallSpec.Order first = previousOrders.get(previousOrders.size() - 1 - random.nextInt(window));
            return new CallSpec.Order(first.account(), first.service(), first.key(), first.body(), true);
        }
        String key = runName + "-" + sequence;
        String body = "{\"item\":\"tin-" + random.nextInt(100) + "\",\"order\":\"" + key + "\"}";
        CallSpec.Order order = new CallSpec.Order(account, settings.orderService(), key, body, false);
        previousOrders.add(order);
        return order;
    }
}
