package io.sesamehead.entry.runtime;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreAnswer;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.entry.protocol.ReportCodec;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.entry.protocol.generated.ModelLoad;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.Incarnation;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Tells the other daemons what this one has in flight, and takes their reports. The store lists where they receive; a
 * lost datagram is made good by the next.
 */
final class PeerReports {
    /** Interval of reports, in milliseconds: a few calls arrive at one daemon in it. */
    private static final long REPORT_MILLIS = 150;
    /** Interval at which the list of daemons is read, in milliseconds; a changed VM is known to all after two. */
    private static final long LIST_MILLIS = 4_000;
    /** The same while few other daemons are known, in milliseconds. */
    private static final long FIRST_LIST_MILLIS = 1_000;
    /** Pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 500;
    /** Other daemons, up to this number, are looked for at the shorter interval. */
    private static final int FEW_PEERS = 2;

    private final EventLoop loop;
    private final Clocks clocks;
    private final EntrySettings settings;
    private final long incarnation;
    private final ObjectStore store;
    private final TargetTable table;
    private final CrashHistory crashes;
    private final ModelLoads loads;
    private final LeaseTask lease;
    private final EventLog log;
    private final Map<String, InetSocketAddress> peers = new HashMap<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final List<Long> newCrashes = new ArrayList<>();
    private Channel channel;
    private long sequence;
    private boolean registered;
    private boolean trafficSeen;

    PeerReports(
            EventLoop loop,
            Clocks clocks,
            EntrySettings settings,
            long incarnation,
            ObjectStore store,
            TargetTable table,
            CrashHistory crashes,
            ModelLoads loads,
            LeaseTask lease,
            EventLog log) {
        this.loop = loop;
        this.clocks = clocks;
        this.settings = settings;
        this.incarnation = incarnation;
        this.store = store;
        this.table = table;
        this.crashes = crashes;
        this.loads = loads;
        this.lease = lease;
        this.log = log;
    }

    void start() throws InterruptedException {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new Receiver())
                .bind(settings.peers().host(), settings.peers().port())
                .sync()
                .channel();
        loop.execute(this::list);
        loop.scheduleWithFixedDelay(this::send, REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Counts a request that was running when its upstream broke off, here and at the other daemons. */
    void recordCrash(long fingerprint) {
        crashes.recordCrash(fingerprint, clocks.steadyMillis());
        newCrashes.add(fingerprint);
    }

    void recordTraffic() {
        trafficSeen = true;
    }

    boolean trafficSeen() {
        return trafficSeen;
    }

    /** Sends the report now, because it says something that others act on at once. */
    void send() {
        if (channel == null || peers.isEmpty()) {
            return;
        }
        byte[] bytes = report().toByteArray();
        for (InetSocketAddress peer : peers.values()) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer));
        }
        channel.flush();
    }

    private DaemonReport report() {
        sequence++;
        DaemonReport.Builder report = DaemonReport.newBuilder()
                .setDaemon(settings.daemon())
                .setIncarnation(incarnation)
                .setSequence(sequence)
                .setTrafficSeen(trafficSeen);
        lease.held().ifPresent(held -> report.setLeaseEpoch(held.epoch()).setLeaseRenewals(held.renewals()));
        table.reports(clocks.steadyMillis()).forEach(row -> report.addTargets(ReportCodec.load(row)));
        loads.takeUnreported()
                .forEach((model, count) ->
                        report.addModels(ModelLoad.newBuilder().setModel(model).setRefused(count)));
        report.addAllCrashedRequests(newCrashes);
        newCrashes.clear();
        return report.build();
    }

    private void receive(DaemonReport report) {
        if (report.getDaemon().equals(settings.daemon())) {
            return;
        }
        String sender = report.getDaemon() + "/" + report.getIncarnation();
        long last = sequences.getOrDefault(sender, 0L);
        if (report.getSequence() <= last) {
            return;
        }
        sequences.put(sender, report.getSequence());
        long now = clocks.steadyMillis();
        table.report(report.getDaemon(), ReportCodec.loads(report), now);
        report.getModelsList().forEach(load -> loads.refusedElsewhere(load.getModel(), load.getRefused(), now));
        report.getCrashedRequestsList().forEach(fingerprint -> crashes.recordCrash(fingerprint, now));
        trafficSeen |= report.getTrafficSeen();
        if (report.getLeaseEpoch() > 0) {
            lease.heard(
                    new DaemonId(report.getDaemon()),
                    new Incarnation(report.getIncarnation()),
                    report.getLeaseEpoch(),
                    report.getLeaseRenewals());
        }
    }

    private void list() {
        store.list(ObjectKind.DAEMONS, true, this::onListing);
    }

    private void onListing(StoreAnswer<Listing<Endpoint>> answer) {
        if (!(answer instanceof StoreAnswer.Done<Listing<Endpoint>>(Listing<Endpoint> listing))) {
            loop.schedule(this::list, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        peers.clear();
        OptionalLong ownRevision = OptionalLong.empty();
        boolean current = false;
        for (StoredObject<Endpoint> object : listing.objects()) {
            if (object.name().equals(settings.daemon())) {
                ownRevision = OptionalLong.of(object.revision());
                current = object.content().filter(settings.peers()::equals).isPresent();
            } else if (object.content().isPresent()) {
                Endpoint peer = object.content().get();
                peers.put(object.name(), new InetSocketAddress(peer.host(), peer.port()));
            }
        }
        if (!current && !registered) {
            register(ownRevision);
        }
        long next = peers.size() <= FEW_PEERS ? FIRST_LIST_MILLIS : LIST_MILLIS;
        loop.schedule(this::list, next, TimeUnit.MILLISECONDS);
    }

    private void register(OptionalLong expected) {
        store.write(ObjectKind.DAEMONS, settings.daemon(), expected, settings.peers(), answer -> {
            registered = answer instanceof StoreAnswer.Done<StoredObject<Endpoint>>;
            log.write(EventLog.Part.PEER, "registered", "endpoint", settings.peers(), "done", registered);
        });
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            var report = ReportCodec.decode(ByteBufUtil.getBytes(packet.content()));
            if (report.isPresent()) {
                receive(report.get());
            } else {
                log.write(EventLog.Part.PEER, "unreadable", "from", packet.sender());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A peer without a listener answers with an ICMP error; its VM is restarting or gone.
            log.write(EventLog.Part.PEER, "datagram-failed", "cause", cause);
        }
    }
}
