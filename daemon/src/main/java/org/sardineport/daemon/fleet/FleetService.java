package org.sardineport.daemon.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.fleet.BackendDirectory;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.LeavingReports;
import org.sardineport.core.fleet.ListReads;
import org.sardineport.core.fleet.ListedMembers;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.membership.LeavingUpdate;
import org.sardineport.core.membership.Membership;
import org.sardineport.core.membership.MembershipMessage;
import org.sardineport.core.membership.MembershipTiming;
import org.sardineport.core.membership.StrikeUpdate;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.port.platform.VmList;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;
import org.sardineport.core.quarantine.Strike;
import org.sardineport.core.quarantine.StrikeChannel;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.quarantine.StrikeReceiver;
import org.sardineport.daemon.eventloop.EventLoop;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.MembershipSettings;

/**
 * Runs the membership protocol, fetches the VM list periodically and publishes a new
 * {@link FleetSnapshot} after each change, all on one event loop thread. Methods may be
 * called from any thread.
 */
public final class FleetService implements FleetView, LeavingReports, StrikeChannel, Service {

	private static final EventLog LOG = EventLog.of(FleetService.class);

	private static final int RING_SIZE = 4096;

	/** Minimum time between two ticks, well below the probe timeout. */
	private static final Duration TICK_INTERVAL = Duration.ofMillis(40);

	/** Added to the time until a tick, as the clock may count whole milliseconds. */
	private static final Duration CLOCK_STEP = Duration.ofMillis(1);

	private static final Runnable NOTHING = () -> {
	};

	private final EventLoop eventLoop;

	private final Telemetry telemetry;

	private final InstantSource clock;

	private final VmList vmList;

	private final VmListReads listReads;

	private final List<NetworkAddress> seeds;

	private volatile SelfReport selfReport = SelfReport.NONE;

	private final BackendDirectory backends;

	private final MembershipReporter reporter;

	private final Membership membership;

	private final List<Consumer<FleetSnapshot>> listeners = new CopyOnWriteArrayList<>();

	private @Nullable VmListing listing;

	private boolean listReachable = true;

	private volatile boolean listRead;

	private final CompletableFuture<Void> leaving = new CompletableFuture<>();

	private volatile boolean leaveRequested;

	private volatile FleetSnapshot snapshot;

	private List<Member> publishedMembers = List.of();

	private @Nullable VmListing publishedListing;

	private List<BackendServer> publishedBackends = List.of();

	private FleetService(FleetSettings settings, long incarnation, PeerTransport transport, VmList vmList,
			InstantSource clock, Telemetry telemetry) {
		this.eventLoop = EventLoop.onDemand("membership", RING_SIZE, TICK_INTERVAL, this::tick, this::untilTickDue);
		this.telemetry = telemetry;
		this.clock = clock;
		this.vmList = vmList;
		this.listReads = new VmListReads(settings.membership().vmListInterval(), () -> offer(NOTHING));
		this.seeds = settings.seeds();
		this.backends = BackendDirectory.create(clock);
		this.reporter = new MembershipReporter(transport, telemetry, this.backends, clock);
		Member self = new Member(settings.daemon(), incarnation, MemberStatus.ALIVE, settings.failureDomain(),
				settings.peerAddress(), settings.callerAddress(), this.selfReport.configurationVersion(),
				this.selfReport.load())
			.withProcessorPercent(settings.processorPercent());
		this.membership = Membership.create(self, timing(settings.membership()), clock,
				new SplittableRandom(settings.daemon().hashCode() ^ incarnation), this.reporter);
		this.membership.contacts(this.seeds);
		this.snapshot = new FleetSnapshot(self.id(), List.of(self), List.of());
		transport.listen(MembershipMessage.class, (sender, senderIncarnation, address,
				message) -> offer(() -> handleMessage(sender, address, (MembershipMessage) message)));
	}

	/**
	 * Returns a service that is not started yet. Start the transport before the service.
	 * @param settings identity, addresses and membership settings of the daemon
	 * @param incarnation number of this run, greater than that of any earlier run:
	 * milliseconds since the epoch at its start
	 * @param transport sends and receives the membership messages
	 * @param vmList source of the platform's VM list
	 * @param clock the clock
	 * @param telemetry registry of the counters
	 * @return the service
	 */
	public static FleetService create(FleetSettings settings, long incarnation, PeerTransport transport, VmList vmList,
			InstantSource clock, Telemetry telemetry) {
		Objects.requireNonNull(transport, "transport must not be null");
		Objects.requireNonNull(vmList, "vmList must not be null");
		return new FleetService(settings, incarnation, transport, vmList, clock, telemetry);
	}

	/**
	 * Returns a service that is not started yet. Start the transport before the service.
	 * @param settings all settings of the daemon
	 * @param incarnation number of this run, greater than that of any earlier run
	 * @param transport sends and receives the membership messages
	 * @param vmList source of the platform's VM list
	 * @param clock the clock
	 * @param telemetry registry of the counters
	 * @return the service
	 */
	public static FleetService create(DaemonSettings settings, long incarnation, PeerTransport transport, VmList vmList,
			InstantSource clock, Telemetry telemetry) {
		return create(FleetSettings.of(settings), incarnation, transport, vmList, clock, telemetry);
	}

	@Override
	public CompletionStage<Void> start() {
		return this.eventLoop.start();
	}

	/**
	 * Announces to other daemons that this daemon stops now, and stops the event loop.
	 * @return completes when the event loop thread has ended
	 */
	@Override
	public CompletionStage<Void> stop() {
		offer(this.membership::announceStopped);
		return this.eventLoop.stop();
	}

	/**
	 * Announces a planned stop to the other daemons, starting with the next tick.
	 * @return completes when that tick has handed the announcement to the membership
	 * protocol and updated this daemon's own view
	 */
	public CompletionStage<Void> leave() {
		this.leaveRequested = true;
		offer(NOTHING);
		return this.leaving.copy();
	}

	/**
	 * Records whether a load report announces that its backend server is leaving. A
	 * change to leaving is broadcast to the other daemons.
	 * @param report the load report
	 */
	public void reported(LoadReport report) {
		Objects.requireNonNull(report, "report must not be null");
		offer(() -> {
			if (this.backends.handleReport(report)) {
				LOG.info("backend.leaving", "backend-server", report.backendServer(), "source", "load-report");
				this.membership.broadcast(LeavingUpdate.ofAnyProcess(report.backendServer(), Duration.ZERO));
			}
			publish();
		});
	}

	@Override
	public void statedLeaving(BackendProcess process) {
		Objects.requireNonNull(process, "process must not be null");
		offer(() -> {
			if (this.backends.recordLeaving(process)) {
				this.telemetry.counter("backends.leaving-stated").inc();
				LOG.info("backend.leaving", "backend-server", process.server(), "started-at", process.startedAt(),
						"source", "response");
				this.membership.broadcast(new LeavingUpdate(process, Duration.ZERO));
				publish();
			}
		});
	}

	/**
	 * Sets the source of the values that this daemon reports about itself. Call it before
	 * the start.
	 * @param report supplies the configuration version and the load
	 */
	public void reportFrom(SelfReport report) {
		this.selfReport = Objects.requireNonNull(report, "report must not be null");
	}

	/**
	 * Sets who receives the strikes of other daemons. Call it before the start.
	 * @param receiver receives the strikes
	 */
	public void setStrikeReceiver(StrikeReceiver receiver) {
		this.reporter.setStrikeReceiver(receiver);
	}

	@Override
	public void share(Strike strike) {
		offer(() -> {
			Instant now = this.clock.instant();
			if (now.isBefore(strike.expires())) {
				this.membership.broadcast(new StrikeUpdate(strike.key(), Duration.between(now, strike.expires())));
			}
		});
	}

	@Override
	public void withdraw(Collection<StrikeKey> strikes) {
		// Not broadcast: a daemon that misses the success of a request keeps its strikes
		// until it completes there, or until they expire.
	}

	@Override
	public FleetSnapshot current() {
		return this.snapshot;
	}

	/**
	 * Returns whether the VM list has been read. Its backend servers have then been
	 * passed to all listeners.
	 * @return whether it has been read at least once since the start
	 */
	public boolean hasReadList() {
		return this.listRead;
	}

	/**
	 * Returns the reads of the VM list.
	 * @return the reads
	 */
	public ListReads listReads() {
		return this.listReads;
	}

	@Override
	public void addListener(Consumer<FleetSnapshot> listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener must not be null"));
	}

	private void offer(Runnable command) {
		if (!this.eventLoop.offer(command)) {
			this.telemetry.counter("membership.ring-full").inc();
		}
	}

	private void handleMessage(DaemonId sender, NetworkAddress address, MembershipMessage message) {
		this.membership.received(sender, address, message);
		publish();
	}

	private Duration untilTickDue() {
		if ((this.leaveRequested && !this.leaving.isDone()) || this.backends.isInGrace()) {
			return Duration.ZERO;
		}
		Duration membershipDue = this.membership.untilTickDue();
		Duration listDue = this.listReads.untilDue(this.clock.instant());
		return ((listDue.compareTo(membershipDue) < 0) ? listDue : membershipDue).plus(CLOCK_STEP);
	}

	private void tick() {
		if (this.leaveRequested && !this.leaving.isDone()) {
			this.membership.leave();
			publish();
			this.leaving.complete(null);
		}
		this.membership.report(this.selfReport.configurationVersion(), this.selfReport.load());
		this.membership.tick();
		fetchIfDue();
		publish();
	}

	private void fetchIfDue() {
		if (this.listReads.beginIfDue(this.clock.instant())) {
			this.vmList.fetch().whenComplete(this::fetched);
		}
	}

	private void fetched(@Nullable VmListing fetched, @Nullable Throwable failure) {
		if (fetched != null) {
			this.listReads.completed(fetched);
		}
		else {
			this.listReads.failed();
		}
		offer(() -> handleFetchResult(fetched, failure));
	}

	private void handleFetchResult(@Nullable VmListing fetched, @Nullable Throwable failure) {
		if (fetched == null) {
			this.telemetry.counter("vm-list.failed").inc();
			this.backends.listingFailed();
			listReachable(false, String.valueOf(failure));
			return;
		}
		listReachable(true, "");
		if (!this.backends.updateListing(fetched)) {
			this.telemetry.counter("vm-list.older-ignored").inc();
			return;
		}
		this.listing = fetched;
		List<NetworkAddress> contacts = new ArrayList<>(this.seeds);
		for (VmListing.EntryVm vm : fetched.entryVms()) {
			if (vm.state() == VmState.LIVE) {
				contacts.add(vm.peerAddress());
			}
		}
		this.membership.contacts(contacts);
		publish();
		this.listRead = true;
	}

	private void listReachable(boolean reachable, String reason) {
		if (reachable && !this.listReachable) {
			LOG.info("vm-list.reached-again");
		}
		if (!reachable && this.listReachable) {
			LOG.warn("vm-list.unreachable", "reason", reason);
		}
		this.listReachable = reachable;
	}

	private void publish() {
		List<Member> members = this.membership.members();
		VmListing listed = this.listing;
		List<BackendServer> eligible = this.backends.eligible();
		// Almost all messages and ticks change nothing.
		if (listed == this.publishedListing && eligible == this.publishedBackends
				&& SameElements.in(members, this.publishedMembers)) {
			return;
		}
		this.publishedMembers = members;
		this.publishedListing = listed;
		this.publishedBackends = eligible;
		FleetSnapshot next = new FleetSnapshot(this.snapshot.self(),
				(listed != null) ? ListedMembers.apply(members, listed) : members, eligible);
		if (!next.equals(this.snapshot)) {
			this.snapshot = next;
			this.listeners.forEach((listener) -> listener.accept(next));
		}
	}

	/**
	 * Returns the intervals and timeouts of the membership protocol.
	 * @param settings the membership settings
	 * @return the timing
	 */
	public static MembershipTiming timing(MembershipSettings settings) {
		return new MembershipTiming(settings.probeInterval(), settings.probeTimeout(), settings.suspicionTimeout());
	}

}
