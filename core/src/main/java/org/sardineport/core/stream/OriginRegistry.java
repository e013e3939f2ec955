package org.sardineport.core.stream;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;

/**
 * One daemon's part in the registry of stream origins: reports its own runs to the
 * daemons chosen for them, remembers what others report to it, and looks origins up. Not
 * safe for use by several threads.
 */
public final class OriginRegistry {

	/** Maximum number of keys remembered for other daemons. */
	public static final int MAXIMUM_TOLD = 65_536;

	/** Maximum number of keys remembered of runs of this daemon. */
	public static final int MAXIMUM_SERVED = 16_384;

	/** Maximum number of lookups and confirmations that wait for replies. */
	public static final int MAXIMUM_PENDING = 4_096;

	/** Longest time that a lookup or a confirmation takes, except for a late tick. */
	public static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(300);

	/** Time for which a lookup waits for more replies after the first useful one. */
	public static final Duration ANSWER_WINDOW = Duration.ofMillis(40);

	/**
	 * Time after which a confirmation no longer waits for every daemon told, if it is of
	 * one version.
	 */
	public static final Duration CONFIRMATION_WINDOW = Duration.ofMillis(100);

	/** Time after which an unconfirmed report is repeated, then with each tick. */
	public static final Duration REPEAT_AFTER = Duration.ofMillis(40);

	/**
	 * Number of other daemons that must confirm a report, if there are. All must if
	 * attempts of several versions were dispatched.
	 */
	public static final int CONFIRMATIONS = 2;

	/** Number of daemons told of a dispatch while a pool runs one version only. */
	static final int TOLD_OF_SOLE_VERSION = 2;

	private final Supplier<FleetSnapshot> fleet;

	private final InstantSource clock;

	private final OriginEffects effects;

	private final StreamOrigins told = StreamOrigins.withMaximum(MAXIMUM_TOLD);

	private final StreamOrigins served = StreamOrigins.withMaximum(MAXIMUM_SERVED);

	private final Map<Integer, PendingReplies> pending = new HashMap<>();

	private int lastCorrelation;

	private OriginRegistry(Supplier<FleetSnapshot> fleet, InstantSource clock, RandomGenerator random,
			OriginEffects effects) {
		this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.effects = Objects.requireNonNull(effects, "effects must not be null");
		this.lastCorrelation = random.nextInt();
	}

	/**
	 * Returns a registry that remembers nothing.
	 * @param fleet the fleet as this daemon knows it
	 * @param clock a steady clock
	 * @param random chooses the first correlation number, so that replies to an earlier
	 * process are not taken for replies to this one
	 * @param effects sends messages and counts
	 * @return the registry
	 */
	public static OriginRegistry create(Supplier<FleetSnapshot> fleet, InstantSource clock, RandomGenerator random,
			OriginEffects effects) {
		return new OriginRegistry(fleet, clock, random, effects);
	}

	/**
	 * Reports that an attempt of a run is dispatched. After attempts at several versions,
	 * the first event must not go to the caller unless the listener hears {@code true}.
	 * @param run the run
	 * @param version version of the backend server
	 * @param keep how long the caller may come back
	 * @param listener hears once whether enough daemons remember the version, within
	 * {@link #LOOKUP_TIMEOUT}
	 */
	public void dispatched(StreamRun run, SoftwareVersion version, Duration keep, Consumer<Boolean> listener) {
		report(run, RunOrigin.dispatched(run.number(), version), keep, listener);
	}

	/**
	 * Reports that an attempt of a run is dispatched while its pool runs one version
	 * only. Two daemons are told, and none replies: there is no other version that the
	 * stream could go on at.
	 * @param run the run
	 * @param version version of the backend server
	 * @param keep how long the caller may come back
	 */
	public void dispatchedAtSoleVersion(StreamRun run, SoftwareVersion version, Duration keep) {
		OriginReport report = new OriginReport(run.key(),
				served(run, RunOrigin.dispatched(run.number(), version), keep), limited(keep), 0);
		OriginReplicas.told(run.key(), this.fleet.get())
			.stream()
			.limit(TOLD_OF_SOLE_VERSION)
			.forEach((member) -> this.effects.send(member.peerAddress(), report));
	}

	private RunOrigin served(StreamRun run, RunOrigin news, Duration keep) {
		long expiresAt = now() + limited(keep).toMillis();
		return this.served.add(run.key(), news, expiresAt, now()).run(run.number()).orElse(news);
	}

	/**
	 * Reports which version a run's first event came from. Needed only if attempts of
	 * several versions were dispatched: until then the origin is ambiguous.
	 * @param run the run
	 * @param version version of the backend server that sent the event
	 * @param keep how long the caller may come back
	 * @param listener hears once whether enough daemons remember the version, within
	 * {@link #LOOKUP_TIMEOUT}
	 */
	public void begun(StreamRun run, SoftwareVersion version, Duration keep, Consumer<Boolean> listener) {
		report(run, RunOrigin.begun(run.number(), version), keep, listener);
	}

	/**
	 * Remembers which version a run's first event came from, and tells nobody.
	 * @param begun the run
	 */
	public void remember(BegunRun begun) {
		served(begun.run(), RunOrigin.begun(begun.run().number(), begun.version()), begun.keep());
	}

	/**
	 * Returns the runs of this daemon that have begun and whose callers may come back.
	 * @return the runs
	 */
	public List<BegunRun> begunRuns() {
		return this.served.begun(now());
	}

	/**
	 * Reports that a run's first event came from another process than the one listed.
	 * From then on the origin of the run is ambiguous.
	 * @param run the run
	 * @param keep how long the caller may come back
	 */
	public void contradicted(StreamRun run, Duration keep) {
		report(run, RunOrigin.contradicted(run.number()), keep, (ignored) -> {
		});
	}

	private void report(StreamRun run, RunOrigin news, Duration keep, Consumer<Boolean> listener) {
		StreamKey key = run.key();
		Duration limited = limited(keep);
		long expiresAt = now() + limited.toMillis();
		RunOrigin known = served(run, news, keep);
		FleetSnapshot snapshot = this.fleet.get();
		if (OriginReplicas.isSelfChosen(key, snapshot)) {
			this.told.add(key, known, expiresAt, now());
		}
		int correlation = nextCorrelation();
		OriginReport report = new OriginReport(key, known, limited, correlation);
		List<Member> replicas = OriginReplicas.told(key, snapshot);
		OriginConfirmation confirmation = new OriginConfirmation(run, report, replicas, now(), this.effects, listener);
		boolean isAwaited = await(correlation, confirmation);
		replicas.forEach((member) -> this.effects.send(member.peerAddress(), report));
		if (!isAwaited) {
			this.effects.unconfirmed(run, 0);
			listener.accept(false);
		}
	}

	private static Duration limited(Duration keep) {
		if (keep.isNegative()) {
			return Duration.ZERO;
		}
		return (keep.compareTo(StreamOrigins.MAXIMUM_KEEP) > 0) ? StreamOrigins.MAXIMUM_KEEP : keep;
	}

	/**
	 * Looks up which version began a stream.
	 * @param key key of the stream
	 * @param listener hears what was found once, within {@link #LOOKUP_TIMEOUT}
	 */
	public void find(StreamKey key, Consumer<OriginEvidence> listener) {
		FleetSnapshot snapshot = this.fleet.get();
		List<Member> asked = OriginReplicas.asked(key, snapshot);
		// A daemon that takes all others for dead may be the one that is cut off.
		boolean isAlone = snapshot.members().size() <= 1;
		OriginLookup lookup = new OriginLookup(key, asked, this.told.find(key, now()), this.served.find(key, now()),
				now(), this.effects, isAlone, listener);
		int correlation = nextCorrelation();
		if (!await(correlation, lookup)) {
			listener.accept(OriginEvidence.NONE);
			this.effects.lookedUp(key, LookupOutcome.OVERLOADED, 0);
			return;
		}
		OriginQuery query = new OriginQuery(key, correlation);
		asked.forEach((member) -> this.effects.send(member.peerAddress(), query));
	}

	private int nextCorrelation() {
		this.lastCorrelation++;
		if (this.lastCorrelation == 0) {
			this.lastCorrelation++;
		}
		return this.lastCorrelation;
	}

	private boolean await(int correlation, PendingReplies replies) {
		if (replies.isDone(now())) {
			replies.complete(now());
			return true;
		}
		if (this.pending.size() >= MAXIMUM_PENDING) {
			return false;
		}
		this.pending.put(correlation, replies);
		return true;
	}

	/**
	 * Handles a message of another daemon.
	 * @param sender the authenticated sender
	 * @param address its peer address
	 * @param message the message
	 */
	public void received(DaemonId sender, NetworkAddress address, StreamOriginMessage message) {
		if (message instanceof OriginReport report) {
			remember(address, report);
		}
		else if (message instanceof OriginQuery query) {
			StreamRecord record = this.told.find(query.key(), now());
			this.effects.send(address, new OriginReply(query.key(), query.correlation(), record));
		}
		else if (message instanceof OriginReply reply) {
			accept(sender, reply);
		}
	}

	private void remember(NetworkAddress address, OriginReport report) {
		StreamRecord record = this.told.add(report.key(), report.run(), now() + report.keep().toMillis(), now());
		if (report.correlation() != 0) {
			this.effects.send(address, new OriginReply(report.key(), report.correlation(), record));
		}
	}

	private void accept(DaemonId sender, OriginReply reply) {
		@Nullable PendingReplies awaiting = this.pending.get(reply.correlation());
		if (awaiting == null) {
			return;
		}
		awaiting.received(sender, reply, now());
		if (awaiting.isDone(now())) {
			this.pending.remove(reply.correlation());
			awaiting.complete(now());
		}
	}

	/**
	 * Ends lookups and confirmations whose time is over. Call it every few milliseconds.
	 */
	public void tick() {
		if (this.pending.isEmpty()) {
			return;
		}
		long now = now();
		for (Map.Entry<Integer, PendingReplies> entry : new ArrayList<>(this.pending.entrySet())) {
			entry.getValue().tick(now);
			if (entry.getValue().isDone(now)) {
				this.pending.remove(entry.getKey());
				entry.getValue().complete(now);
			}
		}
	}

	/**
	 * Returns whether {@link #tick()} has nothing to do until the next event.
	 * @return whether no lookup and no confirmation is pending
	 */
	public boolean isIdle() {
		return this.pending.isEmpty();
	}

	/**
	 * Removes expired records. Call it about once a second.
	 */
	public void expire() {
		this.told.expire(now());
		this.served.expire(now());
	}

	/**
	 * Returns the number of keys remembered, of own runs and for others.
	 * @return the number
	 */
	public int size() {
		return this.told.size() + this.served.size();
	}

	/**
	 * Returns how many records were evicted before they expired.
	 * @return the number since creation
	 */
	public long evictions() {
		return this.told.evictions() + this.served.evictions();
	}

	private long now() {
		return this.clock.millis();
	}

}
