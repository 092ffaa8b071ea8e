package io.sesamehead.entry.runtime;

import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.SampleHeaders;
import io.sesamehead.entry.port.UpstreamOrderSender;
import io.sesamehead.entry.transport.ControlClient;
import java.util.function.LongConsumer;

/** Creates the adapters between the daemon and the platform. */
public interface PlatformAdapters {
    /**
     * Creates the client of the platform's store.
     *
     * @param client HTTP client of the daemon
     * @param onEra receives the era that each response of the store states, before the result of the call
     * @return the store
     */
    ObjectStore store(ControlClient client, LongConsumer onEra);

    /**
     * Creates the sender of orders to upstreams.
     *
     * @param client HTTP client of the daemon
     * @return the sender
     */
    UpstreamOrderSender orders(ControlClient client);

    /**
     * Creates the translator of the platform's call headers.
     *
     * @return the translator
     */
    CallTranslator translator();

    /**
     * Creates the writer of the headers of calls that the daemon sends to itself.
     *
     * @return the writer
     */
    SampleHeaders sampleHeaders();
}
