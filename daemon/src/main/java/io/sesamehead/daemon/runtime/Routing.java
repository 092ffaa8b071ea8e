package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.routing.Router;
import io.sesamehead.coordination.routing.StragglerDetector;

/**
 * Components that choose upstreams.
 *
 * @param router routes each attempt to an upstream
 * @param stragglers detector of slow upstreams that the router consults
 */
public record Routing(Router router, StragglerDetector stragglers) {}
