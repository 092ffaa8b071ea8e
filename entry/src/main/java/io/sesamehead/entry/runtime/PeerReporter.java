package io.sesamehead.entry.runtime;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.sesamehead.coordination.dispatch.RefusedConnections;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetReport;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.membership.ReportTopology;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.protocol.ReportCodec;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.entry.protocol.generated.ReportKind;
import io.sesamehead.state.DaemonId;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Reports this daemon's calls in flight to the other daemons and processes their reports. In a small deployment each
 * daemon reports to all others, in a large one through relays, see {@link ReportTopology}. Each datagram supersedes the
 * previous one, so a lost datagram is not resent.
 */
final class PeerReporter {
    /** Report interval, in milliseconds. Only a few calls arrive at one daemon in this time. */
    private static final long REPORT_INTERVAL_MILLIS = 150;
    /** Report interval with relays, in milliseconds. A report and its sum reach all daemons within the stall time. */
    private static final long RELAYED_REPORT_INTERVAL_MILLIS = 180;
    /** Maximum size of a received datagram, in bytes. Holds the sums of a few hundred targets. */
    private static final int MAX_DATAGRAM_BYTES = 16_384;
    /** Maximum number of datagrams per read event. Netty's default when no buffer size is set. */
    private static final int MAX_MESSAGES_PER_READ = 16;
    /** Sender name under which the sums over all daemons are stored. */
    private static final String ALL_DAEMONS_SENDER = "all daemons";
    /** Prefix of the sender name under which an urgent report is stored. */
    private static final String URGENT_SENDER_PREFIX = "urgent ";

    private final EventLoop loop;
    private final Clocks clocks;
    private final EntrySettings settings;
    private final long incarnation;
    private final PeerDirectory directory;
    private final ReportTopology topology;
    private final TargetTable table;
    private final CrashExchange crashes;
    private final RefusedConnections refused;
    private final RateLimitRecorder rateLimits;
    /** Parts of the reports that are summed up alike, with the rate limits. */
    private final List<ReportSection> sections;

    private final LeavingRecorder leaving;
    private final ModelLoads loads;
    private final LeaseTask lease;
    private final StoreViewExchange storeViews;
    private final EventLog log;
    private final EventLoopTasks tasks;
    private final EarlyReport earlyReport;
    private final Map<DaemonId, Long> lastTimestamps = new HashMap<>();
    private final Map<String, Long> lastSequences = new HashMap<>();
    private final RelayAccumulator relayAccumulator = new RelayAccumulator();
    private Map<TargetKey, Integer> lastReportedInFlight = Map.of();
    private Channel channel;
    private String currentRelay = "";
    private long sequence;
    private boolean trafficSeen;

    PeerReporter(
            EventLoop loop,
            Clocks clocks,
            EntrySettings settings,
            long incarnation,
            PeerDirectory directory,
            ReportTopology topology,
            TargetTable table,
            CrashExchange crashes,
            RefusedConnections refused,
            RateLimitRecorder rateLimits,
            List<ReportSection> sections,
            LeavingRecorder leaving,
            ModelLoads loads,
            LeaseTask lease,
            StoreViewExchange storeViews,
            EventLog log) {
        this.loop = loop;
        this.clocks = clocks;
        this.settings = settings;
        this.incarnation = incarnation;
        this.directory = directory;
        this.topology = topology;
        this.table = table;
        this.crashes = crashes;
        this.refused = refused;
        this.rateLimits = rateLimits;
        this.sections = Stream.concat(Stream.of(rateLimits), sections.stream()).toList();
        this.leaving = leaving;
        this.loads = loads;
        this.lease = lease;
        this.storeViews = storeViews;
        this.log = log;
        this.tasks = new EventLoopTasks(loop, log);
        this.earlyReport = new EarlyReport(
                loop, clocks, () -> topology.mesh() ? 0 : RELAYED_REPORT_INTERVAL_MILLIS, this::sendEarly);
    }

    /** Opens the port and starts reporting. */
    void start() throws InterruptedException {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(MAX_MESSAGES_PER_READ))
                .handler(new Receiver())
                .bind(settings.peerEndpoint().host(), settings.peerEndpoint().port())
                .sync()
                .channel();
        directory.start();
        loop.schedule(this::sendPeriodically, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Stops reporting and receiving. */
    void stop() {
        channel.close();
        channel = null;
    }

    void recordTraffic() {
        trafficSeen = true;
    }

    boolean trafficSeen() {
        return trafficSeen;
    }

    /** Returns the number of other daemons listed in the store. */
    int listedDaemons() {
        return directory.daemons().size();
    }

    PeerDirectory directory() {
        return directory;
    }

    /** Returns whether this daemon knows of no other. */
    boolean alone() {
        return directory.daemons().isEmpty() && table.peerCount() == 0;
    }

    /** Returns the number of daemons that use this one as their relay. */
    int relayedDaemons() {
        return topology.reporters(clocks.steadyMillis()).size();
    }

    /** Reports a stalled target to all daemons. With relays, only if no other daemon has reported it. */
    void reportStalled(TargetKey key) {
        if (topology.mesh()) {
            send();
        } else if (!table.isSuspectedByPeer(key)) {
            sendUrgent();
        }
    }

    /**
     * Reports soon what this daemon has just learned and every daemon must know, a crash or a rate limit, together with
     * what it learns at the same moment. With relays, at most once per report interval.
     */
    void reportSoon() {
        earlyReport.request(EarlyReport.Content.URGENT);
    }

    /**
     * Reports a change of the store soon, if other daemons learn of the store from this one. It takes the regular report,
     * whose receivers can tell the age of the view.
     */
    void reportStoreViewSoon() {
        if (tellsStoreView()) {
            earlyReport.request(EarlyReport.Content.STORE_VIEW);
        }
    }

    /** Returns whether other daemons learn of the store from this one. */
    boolean tellsStoreView() {
        return topology.mesh() ? lease.held().isPresent() : topology.relaying(clocks.steadyMillis());
    }

    private void sendEarly(Set<EarlyReport.Content> contents) {
        if (topology.mesh() || contents.contains(EarlyReport.Content.STORE_VIEW)) {
            send();
        }
        if (!topology.mesh() && contents.contains(EarlyReport.Content.URGENT)) {
            sendUrgent();
        }
    }

    private void sendPeriodically() {
        if (channel == null) {
            return;
        }
        tasks.run("peer-report", this::send, () -> {});
        long next = topology.mesh() ? REPORT_INTERVAL_MILLIS : RELAYED_REPORT_INTERVAL_MILLIS;
        loop.schedule(this::sendPeriodically, next, TimeUnit.MILLISECONDS);
    }

    private void send() {
        if (channel == null || directory.addresses().isEmpty()) {
            return;
        }
        if (topology.mesh()) {
            DaemonReport.Builder report = ownReport();
            addBroadcastData(report);
            sections.forEach(section -> section.addOwn(report));
            ReportCodec.encodeRefusals(loads.drainUnreported()).forEach(report::addModels);
            report.setStampMillis(clocks.bootMillis());
            if (lease.held().isPresent()) {
                writeWithStoreView(report, directory.daemons());
            } else {
                write(report, directory.addresses());
            }
        } else {
            sendThroughRelays();
        }
        channel.flush();
    }

    private void sendThroughRelays() {
        long now = clocks.steadyMillis();
        Map<String, Integer> refused = loads.drainUnreported();
        List<DaemonId> relayIds = topology.currentRelays(now);
        recordRelay(relayIds);
        DaemonReport broadcast = addBroadcastData(DaemonReport.newBuilder()).buildPartial();
        DaemonReport.Builder own =
                ownReport().setStampMillis(clocks.bootMillis()).mergeFrom(broadcast);
        sections.forEach(section -> section.addOwn(own));
        if (relayIds.isEmpty()) {
            relayAccumulator.addRefusals(refused, true);
        } else {
            ReportCodec.encodeRefusals(refused).forEach(own::addModels);
            write(own, directory.addresses(relayIds));
        }
        if (topology.relaying(now)) {
            sendSums(broadcast, now);
        }
        relayAccumulator.clear();
    }

    /** Adds the data that every daemon needs and that is repeated in several reports. */
    private DaemonReport.Builder addBroadcastData(DaemonReport.Builder report) {
        crashes.addTo(report);
        leaving.toAnnounce().forEach(upstream -> report.addLeaving(ReportCodec.leaving(upstream)));
        refused.recordOwnProgress(table, clocks.steadyMillis());
        refused.reports(!topology.mesh(), clocks.steadyMillis())
                .forEach(row -> report.addRefused(ReportCodec.encodeRefusedTarget(row)));
        return report;
    }

    private void recordRelay(List<DaemonId> relayIds) {
        String newRelay =
                relayIds.isEmpty() ? settings.daemon() : relayIds.get(0).value();
        if (!newRelay.equals(currentRelay)) {
            log.write(
                    EventLog.Component.PEER,
                    "relay",
                    "before",
                    currentRelay,
                    "now",
                    newRelay,
                    "listed",
                    directory.addresses().size());
            currentRelay = newRelay;
        }
    }

    private void sendSums(DaemonReport broadcast, long nowMillis) {
        Set<DaemonId> reporters = topology.reporters(nowMillis);
        Set<String> names = reporters.stream().map(DaemonId::value).collect(Collectors.toSet());
        DaemonReport.Builder relaySums = sums(ReportKind.RELAY_SUMS, table.aggregate(names::contains, nowMillis))
                .setDaemons(1 + table.daemonCount(names::contains))
                .mergeFrom(broadcast);
        ReportCodec.encodeRefusals(relayAccumulator.refusals(false)).forEach(relaySums::addModels);
        sections.forEach(section -> section.addSums(relaySums, names::contains));
        relayAccumulator.lease(false).ifPresent(held -> ReportCodec.encodeLease(relaySums, held));
        write(relaySums, directory.addresses(topology.aggregateRecipients(nowMillis)));
        DaemonReport.Builder allSums = sums(
                        ReportKind.ALL_SUMS, table.aggregate(sender -> !sender.equals(ALL_DAEMONS_SENDER), nowMillis))
                .setDaemons(1 + table.daemonCount(sender -> !sender.equals(ALL_DAEMONS_SENDER)))
                .mergeFrom(broadcast);
        ReportCodec.encodeRefusals(relayAccumulator.refusals(true)).forEach(allSums::addModels);
        sections.forEach(section -> section.addSums(allSums, sender -> !sender.equals(ALL_DAEMONS_SENDER)));
        relayAccumulator.lease(true).ifPresent(held -> ReportCodec.encodeLease(allSums, held));
        writeWithStoreView(allSums, reporters);
    }

    /** Adds this daemon's view of the store, so that the receivers do not have to query the store. */
    private void writeWithStoreView(DaemonReport.Builder report, Collection<DaemonId> receivers) {
        byte[] bytes = report.setStore(storeViews.view()).build().toByteArray();
        for (DaemonId receiver : receivers) {
            writeWithEcho(bytes, receiver);
        }
    }

    /** Appends the receiver's own timestamp. Fields appended to an encoded message are merged into it. */
    private void writeWithEcho(byte[] bytes, DaemonId receiver) {
        byte[] echo = DaemonReport.newBuilder()
                .setEchoMillis(lastTimestamps.getOrDefault(receiver, 0L))
                .build()
                .toByteArray();
        for (InetSocketAddress address : directory.addresses(List.of(receiver))) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes, echo), address));
        }
    }

    private void sendUrgent() {
        if (channel == null) {
            return;
        }
        DaemonReport.Builder report = header(ReportKind.URGENT);
        for (TargetReport row : table.localReports(clocks.steadyMillis())) {
            if (row.suspected()) {
                report.addTargets(ReportCodec.encodeLoad(row.minusInFlight(row.inFlight())));
            }
        }
        crashes.addTo(report);
        rateLimits.addLimits(report);
        write(report, directory.addresses());
        channel.flush();
    }

    private DaemonReport.Builder ownReport() {
        DaemonReport.Builder report = header(ReportKind.OWN);
        Map<TargetKey, Integer> rows = new HashMap<>();
        for (TargetReport row : table.localReports(clocks.steadyMillis())) {
            report.addTargets(ReportCodec.encodeLoad(row));
            rows.put(row.key(), row.inFlight());
        }
        lastReportedInFlight = rows;
        return report;
    }

    private DaemonReport.Builder sums(ReportKind kind, List<TargetReport> rows) {
        DaemonReport.Builder report = header(kind);
        rows.forEach(row -> report.addTargets(ReportCodec.encodeLoad(row)));
        return report;
    }

    private DaemonReport.Builder header(ReportKind kind) {
        sequence++;
        DaemonReport.Builder report = DaemonReport.newBuilder()
                .setKind(kind)
                .setDaemon(settings.daemon())
                .setIncarnation(incarnation)
                .setSequence(sequence)
                .setTrafficSeen(trafficSeen);
        lease.held().ifPresent(held -> ReportCodec.encodeLease(report, held));
        return report;
    }

    private void write(DaemonReport.Builder report, Collection<InetSocketAddress> receivers) {
        byte[] bytes = report.build().toByteArray();
        for (InetSocketAddress receiver : receivers) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver));
        }
    }

    private void receive(DaemonReport report, InetSocketAddress origin) {
        if (report.getDaemon().equals(settings.daemon())) {
            return;
        }
        crashes.merge(report);
        rateLimits.mergeLimits(report);
        long now = clocks.steadyMillis();
        ReportCodec.decodeRefusedTargets(report).forEach(row -> refused.merge(row, now));
        ReportCodec.leaving(report).forEach(upstream -> leaving.recordFromPeer(upstream, report.getDaemon()));
        String sender = report.getDaemon() + "/" + report.getIncarnation();
        long lastSequence = lastSequences.getOrDefault(sender, 0L);
        if (report.getSequence() <= lastSequence) {
            return;
        }
        lastSequences.put(sender, report.getSequence());
        directory.onReport(new DaemonId(report.getDaemon()), origin);
        recordTargetLoads(report, now);
        trafficSeen |= report.getTrafficSeen();
        ReportCodec.decodeLease(report).ifPresent(this::recordLeaseHolder);
    }

    private void recordTargetLoads(DaemonReport report, long nowMillis) {
        DaemonId sender = new DaemonId(report.getDaemon());
        List<TargetReport> rows = ReportCodec.decodeLoads(report);
        rows.forEach(row -> refused.recordPeerProgress(row.key(), nowMillis - row.silentMillis()));
        switch (report.getKind()) {
            case OWN -> {
                table.replaceReport(sender.value(), rows, nowMillis);
                sections.forEach(section -> section.recordReport(sender.value(), report));
                recordRefusals(report, nowMillis);
                lastTimestamps.put(sender, report.getStampMillis());
                if (topology.mesh()) {
                    applyStoreView(report);
                } else {
                    topology.recordReporter(sender, nowMillis);
                    relayAccumulator.add(report, true);
                }
            }
            case RELAY_SUMS -> {
                topology.recordPeerRelay(sender, nowMillis);
                if (!topology.mesh() && topology.relaying(nowMillis)) {
                    table.replaceReport(sender.value(), report.getDaemons(), rows, nowMillis);
                    sections.forEach(section -> section.recordReport(sender.value(), report));
                    recordRefusals(report, nowMillis);
                    relayAccumulator.add(report, false);
                }
            }
            case ALL_SUMS -> {
                topology.recordOwnRelay(sender, nowMillis);
                if (topology.mesh() || topology.relaying(nowMillis)) {
                    table.removeReports(ALL_DAEMONS_SENDER::equals);
                    sections.forEach(section -> section.removeReports(ALL_DAEMONS_SENDER::equals));
                    return;
                }
                table.removeReports(
                        other -> !other.equals(ALL_DAEMONS_SENDER) && !other.startsWith(URGENT_SENDER_PREFIX));
                sections.forEach(section -> section.removeReports(other -> !other.equals(ALL_DAEMONS_SENDER)));
                sections.forEach(section -> section.recordReportOfAll(ALL_DAEMONS_SENDER, report));
                List<TargetReport> others = rows.stream()
                        .map(row -> row.minusInFlight(lastReportedInFlight.getOrDefault(row.key(), 0)))
                        .toList();
                table.replaceReport(ALL_DAEMONS_SENDER, report.getDaemons() - 1, others, nowMillis);
                recordRefusals(report, nowMillis);
                applyStoreView(report);
            }
            case URGENT -> table.replaceReport(URGENT_SENDER_PREFIX + sender.value(), 0, rows, nowMillis);
            case UNRECOGNIZED ->
                log.write(EventLog.Component.PEER, "unknown-kind", "from", sender, "kind", report.getKindValue());
        }
    }

    private void applyStoreView(DaemonReport report) {
        if (report.hasStore() && report.getEchoMillis() > 0) {
            storeViews.apply(report.getStore(), report.getEchoMillis());
        }
    }

    private void recordRefusals(DaemonReport report, long nowMillis) {
        ReportCodec.decodeRefusals(report)
                .forEach((model, count) -> loads.recordRemoteRefusals(model, count, nowMillis));
    }

    private void recordLeaseHolder(Lease held) {
        if (!held.holder().value().equals(settings.daemon())) {
            lease.onHolderReport(held.holder(), held.holderIncarnation(), held.epoch(), held.renewals());
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            Optional<DaemonReport> report = ReportCodec.decode(ByteBufUtil.getBytes(packet.content()));
            if (report.isPresent()) {
                receive(report.get(), packet.sender());
            } else {
                log.write(EventLog.Component.PEER, "unreadable", "from", packet.sender());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A peer that is not listening causes an ICMP error; its VM is restarting or gone.
            log.write(EventLog.Component.PEER, "datagram-failed", "cause", cause);
        }
    }
}
