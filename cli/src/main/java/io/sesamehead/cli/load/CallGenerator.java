package io.sesamehead.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws the calls of a run and the pauses between their arrivals from a seed. Used by one thread. */
public final class CallGenerator {
    /** Earlier orders that a repeat is drawn from; some of them are still in flight. */
    private static final int REPEAT_WINDOW = 40;

    private final LoadSettings settings;
    private final Random random;
    private final String runName;
    private final List<CallSpec.Order> earlier = new ArrayList<>();
    private long sequence;

    /**
     * Creates the mix.
     *
     * @param settings bounds and shares
     * @param runName distinguishes the keys and prompts of this run from those of other runs
     */
    public CallGenerator(LoadSettings settings, String runName) {
        this.settings = settings;
        this.runName = runName;
        this.random = new Random(settings.seed());
    }

    /**
     * Draws the pause before the next arrival of a Poisson process.
     *
     * @return pause in nanoseconds
     */
    public long nextPauseNanos() {
        double seconds = -Math.log(1 - random.nextDouble()) / settings.callsPerSecond();
        return (long) (seconds * 1e9);
    }

    /**
     * Draws the next call.
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
        if (!earlier.isEmpty() && random.nextDouble() < settings.repeatShare()) {
            int window = Math.min(REPEAT_WINDOW, earlier.size());
            CallSpec.Order first = earlier.get(earlier.size() - 1 - random.nextInt(window));
            return new CallSpec.Order(first.account(), first.service(), first.key(), first.body(), true);
        }
        String key = runName + "-" + sequence;
        String body = "{\"item\":\"tin-" + random.nextInt(100) + "\",\"order\":\"" + key + "\"}";
        CallSpec.Order order = new CallSpec.Order(account, settings.orderService(), key, body, false);
        earlier.add(order);
        return order;
    }
}
