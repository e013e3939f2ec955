package org.sardineport.daemon.configuration;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.configuration.ConfigurationAnnouncement;
import org.sardineport.core.configuration.ConfigurationDistribution;
import org.sardineport.core.configuration.ConfigurationFetch;
import org.sardineport.core.configuration.ConfigurationImage;
import org.sardineport.core.configuration.ConfigurationMessage;
import org.sardineport.core.configuration.ConfigurationReadiness;
import org.sardineport.core.configuration.ConfigurationRecord;
import org.sardineport.core.configuration.ConfigurationReplica;
import org.sardineport.core.configuration.ConfigurationReplica.Adoption;
import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.configuration.ConfigurationView;
import org.sardineport.core.configuration.ImagePage;
import org.sardineport.core.configuration.PeerCatchUp;
import org.sardineport.core.configuration.PeerCatchUp.Request;
import org.sardineport.core.configuration.ProfileParser;
import org.sardineport.core.configuration.TailSearch;
import org.sardineport.core.configuration.Verdict;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogRecord;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.port.log.LogSlice;
import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.daemon.eventloop.EventLoop;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.settings.ConfigurationSettings;
import org.sardineport.wire.configuration.ConfigurationRecordCodec;
import org.sardineport.wire.configuration.DeflatedImageCodec;

/**
 * Maintains the configuration in force: replays the configuration stream of the log
 * service, and catches up from peers when it is behind or the log cannot be read. The
 * view may be used by any thread; everything else runs on the event loop.
 */
public final class ConfigurationService implements ConfigurationView, Service {

	private static final EventLog LOG = EventLog.of(ConfigurationService.class);

	private static final int RING_SIZE = 1024;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

	/** Interval between fleet checks, whose cost grows with the size of the fleet. */
	private static final Duration FLEET_CHECK_INTERVAL = Duration.ofMillis(100);

	/** Time without fetches from peers after an image that could not be adopted. */
	private static final Duration INVALID_IMAGE_BACKOFF = Duration.ofSeconds(5);

	private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);

	private final FleetView fleet;

	private final PeerTransport transport;

	private final InstantSource clock;

	private final EventLoop eventLoop;

	private final ConfigurationRecordCodec recordCodec = ConfigurationRecordCodec.create();

	private final ConfigurationReplica replica;

	private final ConfigurationReadiness readiness;

	private final PeerCatchUp catchUp;

	private final StreamReader reader;

	private final SnapshotWriter snapshotWriter;

	private final ImageServer imageServer;

	private final ConfigurationCounters counters;

	private final List<Consumer<ConfigurationSnapshot>> listeners = new CopyOnWriteArrayList<>();

	private Instant nextFleetCheck = Instant.MIN;

	private boolean continuousReader = true;

	private @Nullable TailSearch tailSearch;

	private long searchStart;

	private volatile ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;

	private volatile boolean ready;

	private ConfigurationService(ConfigurationSettings settings, ProfileParser parser, LogService log, FleetView fleet,
			PeerTransport transport, InstantSource clock, Telemetry telemetry) {
		this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
		this.transport = Objects.requireNonNull(transport, "transport must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		DaemonId self = fleet.current().self();
		DeflatedImageCodec codec = DeflatedImageCodec.create();
		this.eventLoop = EventLoop.create("configuration-" + self, RING_SIZE, TICK_INTERVAL, this::tick);
		this.replica = ConfigurationReplica.create(parser, codec);
		this.readiness = ConfigurationReadiness.create(self);
		this.catchUp = PeerCatchUp.create(PEER_TIMEOUT, codec);
		this.reader = StreamReader.create(settings, log, clock, this.eventLoop, this::processSlice,
				this::handleReadFailure);
		this.snapshotWriter = SnapshotWriter.create(settings, log, self, clock, codec);
		this.imageServer = ImageServer.create(codec);
		this.counters = ConfigurationCounters.create(telemetry);
	}

	/**
	 * Returns a service that is not started yet, and registers its message listener.
	 * @param settings the configuration settings
	 * @param parser parses the texts of profiles
	 * @param log the log service that holds the configuration stream
	 * @param fleet the current members of the fleet
	 * @param transport sends messages to peers; not started yet
	 * @param clock the clock
	 * @param telemetry counts verdicts and errors
	 * @return the service
	 */
	public static ConfigurationService create(ConfigurationSettings settings, ProfileParser parser, LogService log,
			FleetView fleet, PeerTransport transport, InstantSource clock, Telemetry telemetry) {
		ConfigurationService service = new ConfigurationService(settings, parser, log, fleet, transport, clock,
				telemetry);
		transport.listen(ConfigurationMessage.class, service::received);
		return service;
	}

	@Override
	public ConfigurationSnapshot current() {
		return this.current;
	}

	@Override
	public boolean isReady() {
		return this.ready;
	}

	/**
	 * Adds a listener for new configurations. It is called on the event loop and must not
	 * block.
	 * @param listener receives each new configuration
	 */
	public void listen(Consumer<ConfigurationSnapshot> listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener must not be null"));
	}

	@Override
	public CompletionStage<Void> start() {
		return this.eventLoop.start();
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.eventLoop.stop();
	}

	private void tick() {
		Instant now = this.clock.instant();
		if (!now.isBefore(this.nextFleetCheck)) {
			this.nextFleetCheck = now.plus(FLEET_CHECK_INTERVAL);
			checkFleet(now, this.fleet.current());
		}
		readNext();
		if (this.reader.isAtEnd() && !this.replica.hasGap()) {
			this.snapshotWriter.tick(this.replica, this.reader.isLogBehind(this.replica.asOf()));
		}
	}

	private void checkFleet(Instant now, FleetSnapshot view) {
		this.continuousReader = ConfigurationDistribution.isReader(view);
		this.catchUp.next(now, this.replica.state().version(), view).ifPresent(this::send);
		if ((!this.ready && this.reader.isFailing()) || this.replica.hasGap()) {
			this.catchUp.confirmations(now, this.replica.state().version(), view).forEach(this::send);
		}
		publish(view);
	}

	private void readNext() {
		this.reader.tick(this.replica.nextOffset(), this.continuousReader || !this.ready);
	}

	private void processSlice(LogSlice slice) {
		if (this.tailSearch == null) {
			this.tailSearch = TailSearch.before(slice.endOffset());
			searchFurtherBack();
			return;
		}
		for (LogRecord record : slice.records()) {
			ConfigurationRecord decoded = this.recordCodec.decode(record.value());
			reportVerdicts(this.replica.apply(record.offset(), decoded));
			if (decoded instanceof ImagePage page) {
				this.snapshotWriter.observe(record, page);
			}
		}
		reportVerdicts(this.replica.readUpTo(slice.nextOffset()));
		if (slice.isAtEnd() && this.replica.hasGap() && this.searchStart > 0) {
			searchFurtherBack();
			return;
		}
		if (slice.isAtEnd() && !this.replica.hasGap()) {
			this.readiness.logAtEnd();
		}
		publish(this.fleet.current());
		readNext();
	}

	private void searchFurtherBack() {
		this.searchStart = Objects.requireNonNull(this.tailSearch, "tail search must have started").next();
		this.replica.beginAt(this.searchStart);
		readNext();
	}

	private void handleReadFailure(LogFailure failure) {
		this.counters.readFailed(failure);
		if (failure == LogFailure.OFFSET_EXPIRED) {
			LOG.warn("configuration.offset-expired", "offset", this.replica.nextOffset());
			this.replica.expired();
			this.searchStart = 0;
		}
		else {
			this.readiness.logFailed();
		}
	}

	private void received(DaemonId sender, long incarnation, NetworkAddress address, PeerMessage message) {
		if (!this.eventLoop.offer(() -> handle(sender, address, message))) {
			this.counters.ringFull();
		}
	}

	private void handle(DaemonId sender, NetworkAddress address, PeerMessage message) {
		if (message instanceof ConfigurationFetch fetch) {
			this.transport.send(address, this.imageServer.respond(fetch, this.replica, this.ready));
		}
		else if (message instanceof ConfigurationAnnouncement announcement) {
			this.catchUp.updateVersion(sender, announcement.version());
			this.readiness.peerReported(sender, announcement.version(), announcement.ready());
			reportVerdicts(this.replica.confirmed(announcement.version(), announcement.asOf()));
			this.catchUp.next(this.clock.instant(), this.replica.state().version(), this.fleet.current())
				.ifPresent(this::send);
		}
		else if (message instanceof ImagePage page) {
			processPage(sender, address, page);
		}
		publish(this.fleet.current());
	}

	private void processPage(DaemonId sender, NetworkAddress address, ImagePage page) {
		long version = this.replica.state().version();
		if (page.version() <= version) {
			return;
		}
		this.catchUp.received(sender, page)
			.ifPresentOrElse(this::adopt,
					() -> send(this.catchUp.nextPage(this.clock.instant(), sender, address, page, version)));
	}

	private void adopt(ConfigurationImage image) {
		Adoption adoption = this.replica.adopt(image);
		if (!adoption.fault().isEmpty()) {
			this.counters.imageFaulty();
			this.catchUp.backOff(this.clock.instant().plus(INVALID_IMAGE_BACKOFF));
			LOG.warn("configuration.image-faulty", "version", image.version(), "fault", adoption.fault());
		}
		if (adoption.adopted()) {
			this.catchUp.imageAdopted();
			this.counters.caughtUpFromPeer();
			LOG.info("configuration.caught-up", "version", image.version(), "profiles", image.profiles().size());
		}
		reportVerdicts(adoption.verdicts());
	}

	private void publish(FleetSnapshot view) {
		ConfigurationSnapshot next = this.replica.state().snapshot();
		boolean changed = next.version() > this.current.version();
		if (changed) {
			this.imageServer.update(this.replica.state());
			this.current = next;
			LOG.info("configuration.in-force", "version", next.version(), "profiles", next.profiles().size());
		}
		this.ready = this.readiness.update(next.version(), view.members());
		if (changed) {
			ConfigurationAnnouncement announcement = new ConfigurationAnnouncement(next.version(), this.replica.asOf(),
					this.ready);
			for (Member member : ConfigurationDistribution.recipients(view)) {
				this.transport.send(member.peerAddress(), announcement);
			}
			this.listeners.forEach((listener) -> listener.accept(next));
		}
	}

	private void send(Request request) {
		this.transport.send(request.peer(), request.fetch());
	}

	private void reportVerdicts(List<Verdict> verdicts) {
		for (Verdict verdict : verdicts) {
			this.counters.verdictReported(verdict.kind());
			LOG.info("configuration.verdict", "offset", verdict.offset(), "verdict", verdict.kind().label(), "operator",
					verdict.operator(), "token", verdict.token(), "reason", verdict.reason());
		}
	}

}
