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
import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.CrashReport;
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

/**
 * Tells the other daemons what this one has in flight, and takes their reports. Few daemons report to all; many report
 * through relays, see {@link ReportTopology}. A lost datagram is made good by the next.
 */
final class PeerReporter {
    /** Interval of reports, in milliseconds: a few calls arrive at one daemon in it. */
    private static final long REPORT_MILLIS = 150;
    /** The same with relays, in milliseconds: a report and its sum together reach all within the stall time. */
    private static final long RELAYED_REPORT_MILLIS = 180;
    /** Largest datagram taken, in bytes: the sums of a few hundred targets. */
    private static final int MAX_DATAGRAM_BYTES = 16_384;
    /** Datagrams taken in one turn of the loop, as Netty has it where no size is set. */
    private static final int READS_PER_TURN = 16;
    /** Sender under which the sums over all daemons are kept. */
    private static final String ALL = "all daemons";
    /** Prefix of the sender under which an urgent report is kept. */
    private static final String URGENT = "urgent ";

    private final EventLoop loop;
    private final Clocks clocks;
    private final EntrySettings settings;
    private final long incarnation;
    private final PeerDirectory directory;
    private final ReportTopology relays;
    private final TargetTable table;
    private final CrashHistory crashes;
    private final LeavingRecorder leaving;
    private final ModelLoads loads;
    private final LeaseTask lease;
    private final StoreViewExchange store;
    private final EventLog log;
    private final Map<DaemonId, Long> stamps = new HashMap<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final RelayAccumulator news = new RelayAccumulator();
    private Map<TargetKey, Integer> reported = Map.of();
    private Channel channel;
    private String relay = "";
    private long sequence;
    private boolean trafficSeen;

    PeerReporter(
            EventLoop loop,
            Clocks clocks,
            EntrySettings settings,
            long incarnation,
            PeerDirectory directory,
            ReportTopology relays,
            TargetTable table,
            CrashHistory crashes,
            LeavingRecorder leaving,
            ModelLoads loads,
            LeaseTask lease,
            StoreViewExchange store,
            EventLog log) {
        this.loop = loop;
        this.clocks = clocks;
        this.settings = settings;
        this.incarnation = incarnation;
        this.directory = directory;
        this.relays = relays;
        this.table = table;
        this.crashes = crashes;
        this.leaving = leaving;
        this.loads = loads;
        this.lease = lease;
        this.store = store;
        this.log = log;
    }

    /** Opens the port and begins to report. */
    void start() throws InterruptedException {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(READS_PER_TURN))
                .handler(new Receiver())
                .bind(settings.peerEndpoint().host(), settings.peerEndpoint().port())
                .sync()
                .channel();
        directory.start();
        loop.schedule(this::sendAndRepeat, REPORT_MILLIS, TimeUnit.MILLISECONDS);
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

    /** Returns how many other daemons the store lists. */
    int listedDaemons() {
        return directory.daemons().size();
    }

    /** Returns how many daemons report to this one as their relay. */
    int relayedDaemons() {
        return relays.reporters(clocks.steadyMillis()).size();
    }

    /** Tells all daemons of a target that has stopped, unless another one has said so. */
    void reportStalled(TargetKey key) {
        if (relays.mesh()) {
            send();
        } else if (!table.isSuspectedByPeer(key)) {
            sendUrgent();
        }
    }

    private void sendAndRepeat() {
        if (channel == null) {
            return;
        }
        send();
        long next = relays.mesh() ? REPORT_MILLIS : RELAYED_REPORT_MILLIS;
        loop.schedule(this::sendAndRepeat, next, TimeUnit.MILLISECONDS);
    }

    private void send() {
        if (channel == null || directory.addresses().isEmpty()) {
            return;
        }
        if (relays.mesh()) {
            DaemonReport.Builder report = own();
            addNews(report);
            ReportCodec.encodeRefusals(loads.drainUnreported()).forEach(report::addModels);
            report.setStampMillis(clocks.bootMillis());
            if (lease.held().isPresent()) {
                writeWithStore(report, directory.daemons());
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
        List<DaemonId> upwards = relays.currentRelays(now);
        noteRelay(upwards);
        DaemonReport spread = addNews(DaemonReport.newBuilder()).buildPartial();
        DaemonReport.Builder own = own().setStampMillis(clocks.bootMillis()).mergeFrom(spread);
        if (upwards.isEmpty()) {
            news.refused(refused, true);
        } else {
            ReportCodec.encodeRefusals(refused).forEach(own::addModels);
            write(own, directory.addresses(upwards));
        }
        if (relays.relaying(now)) {
            sendSums(spread, now);
        }
        news.clear();
    }

    /** Adds what every daemon needs to know and what is told again and again. */
    private DaemonReport.Builder addNews(DaemonReport.Builder report) {
        crashes.nextReport(clocks.steadyMillis()).forEach(row -> report.addCrashed(ReportCodec.encodeCrash(row)));
        leaving.toAnnounce().forEach(life -> report.addLeaving(ReportCodec.leaving(life)));
        return report;
    }

    private void noteRelay(List<DaemonId> upwards) {
        String now = upwards.isEmpty() ? settings.daemon() : upwards.get(0).value();
        if (!now.equals(relay)) {
            log.write(
                    EventLog.Component.PEER,
                    "relay",
                    "before",
                    relay,
                    "now",
                    now,
                    "listed",
                    directory.addresses().size());
            relay = now;
        }
    }

    private void sendSums(DaemonReport spread, long nowMillis) {
        Set<DaemonId> leaves = relays.reporters(nowMillis);
        Set<String> names = leaves.stream().map(DaemonId::value).collect(Collectors.toSet());
        DaemonReport.Builder some = sums(ReportKind.RELAY_SUMS, table.aggregate(names::contains, nowMillis))
                .setDaemons(1 + table.daemonCount(names::contains))
                .mergeFrom(spread);
        ReportCodec.encodeRefusals(news.refused(false)).forEach(some::addModels);
        news.lease(false).ifPresent(heard -> ReportCodec.encodeLease(some, heard));
        write(some, directory.addresses(relays.aggregateRecipients(nowMillis)));
        DaemonReport.Builder all = sums(ReportKind.ALL_SUMS, table.aggregate(sender -> !sender.equals(ALL), nowMillis))
                .setDaemons(1 + table.daemonCount(sender -> !sender.equals(ALL)))
                .mergeFrom(spread);
        ReportCodec.encodeRefusals(news.refused(true)).forEach(all::addModels);
        news.lease(true).ifPresent(heard -> ReportCodec.encodeLease(all, heard));
        writeWithStore(all, leaves);
    }

    /** Tells what this daemon knows of the store, so that the receivers need not ask it. */
    private void writeWithStore(DaemonReport.Builder report, Collection<DaemonId> receivers) {
        byte[] bytes = report.setStore(store.view()).build().toByteArray();
        for (DaemonId receiver : receivers) {
            writeEchoed(bytes, receiver);
        }
    }

    /** Adds the receiver's own stamp; fields that are appended to a message are merged into it. */
    private void writeEchoed(byte[] bytes, DaemonId leaf) {
        byte[] echo = DaemonReport.newBuilder()
                .setEchoMillis(stamps.getOrDefault(leaf, 0L))
                .build()
                .toByteArray();
        for (InetSocketAddress receiver : directory.addresses(List.of(leaf))) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes, echo), receiver));
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
        write(report, directory.addresses());
        channel.flush();
    }

    private DaemonReport.Builder own() {
        DaemonReport.Builder report = header(ReportKind.OWN);
        Map<TargetKey, Integer> rows = new HashMap<>();
        for (TargetReport row : table.localReports(clocks.steadyMillis())) {
            report.addTargets(ReportCodec.encodeLoad(row));
            rows.put(row.key(), row.inFlight());
        }
        reported = rows;
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
        takeCrashes(report);
        ReportCodec.leaving(report).forEach(life -> leaving.recordFromPeer(life, report.getDaemon()));
        String sender = report.getDaemon() + "/" + report.getIncarnation();
        long last = sequences.getOrDefault(sender, 0L);
        if (report.getSequence() <= last) {
            return;
        }
        sequences.put(sender, report.getSequence());
        directory.onReport(new DaemonId(report.getDaemon()), origin);
        long now = clocks.steadyMillis();
        takeRows(report, now);
        trafficSeen |= report.getTrafficSeen();
        ReportCodec.decodeLease(report).ifPresent(this::takeHolder);
    }

    /** Crashes count whatever the order of the reports: they are merged. */
    private void takeCrashes(DaemonReport report) {
        long now = clocks.steadyMillis();
        for (CrashReport row : ReportCodec.decodeCrashes(report)) {
            if (crashes.merge(row, now)) {
                log.write(
                        EventLog.Component.PEER,
                        "crash-heard",
                        "request",
                        row.request(),
                        "crashes",
                        crashes.crashCount(row.request(), now),
                        "from",
                        report.getDaemon());
            }
        }
    }

    private void takeRows(DaemonReport report, long nowMillis) {
        DaemonId sender = new DaemonId(report.getDaemon());
        List<TargetReport> rows = ReportCodec.decodeLoads(report);
        switch (report.getKind()) {
            case OWN -> {
                table.replaceReport(sender.value(), rows, nowMillis);
                takeRefused(report, nowMillis);
                stamps.put(sender, report.getStampMillis());
                if (relays.mesh()) {
                    takeStore(report);
                } else {
                    relays.recordReporter(sender, nowMillis);
                    news.add(report, true);
                }
            }
            case RELAY_SUMS -> {
                relays.recordPeerRelay(sender, nowMillis);
                if (!relays.mesh() && relays.relaying(nowMillis)) {
                    table.replaceReport(sender.value(), report.getDaemons(), rows, nowMillis);
                    takeRefused(report, nowMillis);
                    news.add(report, false);
                }
            }
            case ALL_SUMS -> {
                relays.recordOwnRelay(sender, nowMillis);
                if (relays.mesh() || relays.relaying(nowMillis)) {
                    table.removeReports(ALL::equals);
                    return;
                }
                table.removeReports(other -> !other.equals(ALL) && !other.startsWith(URGENT));
                List<TargetReport> others = rows.stream()
                        .map(row -> row.minusInFlight(reported.getOrDefault(row.key(), 0)))
                        .toList();
                table.replaceReport(ALL, report.getDaemons() - 1, others, nowMillis);
                takeRefused(report, nowMillis);
                takeStore(report);
            }
            case URGENT -> table.replaceReport(URGENT + sender.value(), 0, rows, nowMillis);
            case UNRECOGNIZED ->
                log.write(EventLog.Component.PEER, "unknown-kind", "from", sender, "kind", report.getKindValue());
        }
    }

    private void takeStore(DaemonReport report) {
        if (report.hasStore() && report.getEchoMillis() > 0) {
            store.apply(report.getStore(), report.getEchoMillis());
        }
    }

    private void takeRefused(DaemonReport report, long nowMillis) {
        report.getModelsList().forEach(load -> loads.recordRemoteRefusals(load.getModel(), load.getRefused(), nowMillis));
    }

    private void takeHolder(Lease held) {
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
            // A peer without a listener answers with an ICMP error; its VM is restarting or gone.
            log.write(EventLog.Component.PEER, "datagram-failed", "cause", cause);
        }
    }
}
