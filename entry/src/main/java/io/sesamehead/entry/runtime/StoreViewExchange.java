package io.sesamehead.entry.runtime;

import io.sesamehead.entry.protocol.generated.StoreView;

/** Provides this daemon's view of the store for its reports, and applies the views from received reports. */
interface StoreViewExchange {
    /** Returns this daemon's current view of the store. */
    StoreView view();

    /**
     * Applies the view of a relay.
     *
     * @param view the relay's view
     * @param stampMillis a time before the relay sent the view, on this daemon's clock of {@link Clocks#bootMillis()}
     */
    void apply(StoreView view, long stampMillis);
}
