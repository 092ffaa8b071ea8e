package io.sesamehead.entry.runtime;

import io.sesamehead.entry.protocol.generated.StoreView;

/** What a daemon knows of the store, as relays share it. */
interface StoreViewExchange {
    /** Returns what this daemon knows now. */
    StoreView view();

    /**
     * Takes what a relay knows.
     *
     * @param view the relay's knowledge
     * @param stampMillis a time, on this daemon's clock that counts suspension, before the relay sent the view
     */
    void apply(StoreView view, long stampMillis);
}
