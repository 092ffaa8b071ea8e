package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.sesamehead.coordination.catalog.AllowedRegions;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.RouteTable;
import io.sesamehead.coordination.catalog.Tenant;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Which targets and peers one call may use. The regions of its route and tenant are those of the configuration in force, so
 * that a later attempt keeps to a change; a route or tenant that has been removed meanwhile applies as it was.
 */
final class CallPlacement {
    private final CallEnvironment environment;
    private final CallRequest request;
    private final CallMetadata facts;
    private Route route;
    private Optional<Tenant> tenant;
    private Optional<RouteTable> table;
    private AllowedRegions regions;
    private boolean logged;

    CallPlacement(
            CallEnvironment environment,
            CallRequest request,
            CallMetadata facts,
            Route route,
            Optional<Tenant> tenant) {
        this.environment = environment;
        this.request = request;
        this.facts = facts;
        this.route = route;
        this.tenant = tenant;
        this.table = environment.activeConfig().table();
        this.regions = AllowedRegions.of(route, tenant, environment.regionMap());
    }

    /** Returns the targets of a service that may run the call. */
    List<Target> targets(ServiceName service) {
        List<Target> serving = environment.fleet().targets(service, facts.model());
        AllowedRegions inForce = regionsInForce();
        if (inForce.allowsAll()) {
            return serving;
        }
        List<Target> allowed = serving.stream()
                .filter(target -> inForce.allowsUpstream(target.upstream().failureDomain()))
                .toList();
        if (allowed.isEmpty() && !serving.isEmpty() && !logged) {
            logged = true;
            environment.metrics().count("calls_without_allowed_upstream");
            environment
                    .log()
                    .write(
                            EventLog.Component.CALL,
                            "no-allowed-upstream",
                            "id",
                            facts.requestId(),
                            "service",
                            service,
                            "regions",
                            inForce,
                            "serving",
                            serving.size());
        }
        return allowed;
    }

    /** Chooses a peer to pass the call on to, if this daemon has lost its path to targets that may run it. */
    Optional<Target> selectPeer(ServiceName service, Predicate<TargetKey> tried) {
        AllowedRegions inForce = regionsInForce();
        return environment
                .peerForwarding()
                .selectPeer(
                        service,
                        targets(service),
                        peer -> !tried.test(peer.key())
                                && inForce.allowsPeer(peer.upstream().failureDomain()));
    }

    private AllowedRegions regionsInForce() {
        Optional<RouteTable> latest = environment.activeConfig().table();
        if (!latest.equals(table)) {
            table = latest;
            String host = request.headers().get(HttpHeaderNames.HOST, "");
            latest.flatMap(config -> config.find(host, request.target())).ifPresent(found -> route = found);
            latest.flatMap(config -> facts.apiKey().map(config.config().tenantsByKey()::get))
                    .ifPresent(found -> tenant = Optional.of(found));
            regions = AllowedRegions.of(route, tenant, environment.regionMap());
        }
        return regions;
    }
}
