package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.routing.Router;
import io.sesamehead.coordination.routing.StragglerDetector;

/**
 * Choice of upstreams.
 *
 * @param router the router
 * @param stragglers the detector that the router asks
 */
public record Routing(Router router, StragglerDetector stragglers) {}
