package org.sardineport.core.stream;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.ownership.Ownership;

/**
 * Writes origins of streams to the {@link OriginStore}. One daemon of the fleet writes
 * for all, so that the calls to the store do not grow with the fleet. Not safe for use by
 * several threads.
 */
public final class OriginRecorder {

	/** Time for which origins are collected before they are appended together. */
	public static final Duration APPEND_INTERVAL = Duration.ofMillis(200);

	/** Time between a call that failed and the next. */
	public static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/**
	 * Time after the start at which this daemon knows the others well enough to decide
	 * which of them writes.
	 */
	public static final Duration START_DELAY = Duration.ofSeconds(3);

	/** Maximum number of origins that wait to be appended; more are lost. */
	public static final int MAXIMUM_WAITING = 8_192;

	/** Maximum number of origins of one append. */
	static final int MAXIMUM_APPENDED = 2_048;

	/** Key whose owner writes. */
	private static final String OWNERSHIP_KEY = "stream-origins";

	private final Supplier<FleetSnapshot> fleet;

	private final VersionHistory history;

	private final OriginStore store;

	private final InstantSource clock;

	private final Consumer<Runnable> commands;

	private final Deque<StoredOrigin> waiting = new ArrayDeque<>();

	private final Instant startedAt;

	private Instant nextAppend = Instant.MIN;

	private Instant nextStatement = Instant.MIN;

	private boolean appending;

	private boolean stating;

	private @Nullable SoleVersions stored;

	/** Era of the store in which the statement was read or replaced. */
	private long storedEra;

	private @Nullable FleetSnapshot decidedFor;

	private boolean writer;

	private OriginRecorder(Supplier<FleetSnapshot> fleet, VersionHistory history, OriginStore store,
			InstantSource clock, Consumer<Runnable> commands) {
		this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
		this.history = Objects.requireNonNull(history, "history must not be null");
		this.store = Objects.requireNonNull(store, "store must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.commands = Objects.requireNonNull(commands, "commands must not be null");
		this.startedAt = clock.instant();
	}

	/**
	 * Returns a recorder with nothing to write.
	 * @param fleet the fleet as this daemon knows it
	 * @param history the versions listed
	 * @param store where to write
	 * @param clock a steady clock
	 * @param commands runs commands on the thread of the recorder
	 * @return the recorder
	 */
	public static OriginRecorder create(Supplier<FleetSnapshot> fleet, VersionHistory history, OriginStore store,
			InstantSource clock, Consumer<Runnable> commands) {
		return new OriginRecorder(fleet, history, store, clock, commands);
	}

	/**
	 * Returns the daemon that writes for the fleet.
	 * @param snapshot the fleet
	 * @return the daemon, or empty if none is eligible
	 */
	public static Optional<Member> writer(FleetSnapshot snapshot) {
		return Ownership.ownerOfKey(OWNERSHIP_KEY, snapshot.members());
	}

	/**
	 * Stores the origin of a run, with the next append.
	 * @param origin the origin
	 * @return whether there was room
	 */
	public boolean add(StoredOrigin origin) {
		if (this.waiting.size() >= MAXIMUM_WAITING) {
			return false;
		}
		if (this.waiting.isEmpty()) {
			Instant earliest = this.clock.instant().plus(APPEND_INTERVAL);
			this.nextAppend = earliest.isAfter(this.nextAppend) ? earliest : this.nextAppend;
		}
		this.waiting.add(origin);
		return true;
	}

	/**
	 * Does what is due. Call it every few milliseconds.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		if (!this.appending && !this.waiting.isEmpty() && !now.isBefore(this.nextAppend)) {
			append();
		}
		if (!this.stating && !now.isBefore(this.nextStatement) && !now.isBefore(this.startedAt.plus(START_DELAY))) {
			updateStatement();
		}
	}

	/**
	 * Returns whether {@link #tick()} has nothing to do until the versions or the fleet
	 * change.
	 * @return whether no origin waits to be appended
	 */
	public boolean isIdle() {
		return this.waiting.isEmpty();
	}

	private void append() {
		List<StoredOrigin> batch = new ArrayList<>();
		while (!this.waiting.isEmpty() && batch.size() < MAXIMUM_APPENDED) {
			batch.add(this.waiting.remove());
		}
		this.appending = true;
		onResult(this.store.append(batch), (ignored, failure) -> appended(batch, failure));
	}

	private void appended(List<StoredOrigin> batch, @Nullable Throwable failure) {
		this.appending = false;
		this.nextAppend = this.clock.instant().plus((failure != null) ? RETRY_AFTER : APPEND_INTERVAL);
		if (failure != null) {
			for (int i = batch.size() - 1; i >= 0 && this.waiting.size() < MAXIMUM_WAITING; i--) {
				this.waiting.addFirst(batch.get(i));
			}
		}
	}

	private void updateStatement() {
		if (!isWriter()) {
			this.stored = null;
			return;
		}
		long era = this.store.era();
		SoleVersions known = (this.storedEra == era) ? this.stored : null;
		this.storedEra = era;
		if (known == null) {
			this.stating = true;
			onResult(this.store.soleVersions(), this::stated);
			return;
		}
		Map<PoolName, SoftwareVersion> next = this.history.soleVersions(known);
		if (!next.equals(known.versions())) {
			this.stating = true;
			onResult(this.store.replace(known, next), this::stated);
		}
	}

	// Compares all daemons, so it is decided once for each view of the fleet.
	private boolean isWriter() {
		FleetSnapshot snapshot = this.fleet.get();
		if (snapshot != this.decidedFor) {
			this.decidedFor = snapshot;
			this.writer = writer(snapshot).filter((member) -> member.id().equals(snapshot.self())).isPresent();
		}
		return this.writer;
	}

	private <T> void onResult(CompletionStage<T> stage, BiConsumer<? super T, ? super Throwable> handler) {
		stage.whenComplete((result, failure) -> this.commands.accept(() -> handler.accept(result, failure)));
	}

	private void stated(@Nullable SoleVersions statement, @Nullable Throwable failure) {
		this.stating = false;
		this.stored = statement;
		if (failure != null) {
			this.nextStatement = this.clock.instant().plus(RETRY_AFTER);
		}
	}

}
