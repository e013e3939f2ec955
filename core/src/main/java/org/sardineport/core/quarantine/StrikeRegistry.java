package org.sardineport.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;

/**
 * Strikes against requests and parts of prompts, and the requests that are quarantined
 * because of them. A {@link QuarantineRule} decides who is to blame for a crash. A
 * success proves that a request crashes nothing, and withdraws its strikes; the first
 * event of an answer proves it of the parts of the prompt. Not thread-safe.
 */
public final class StrikeRegistry {

	/** Time during which a strike counts. */
	public static final Duration STRIKE_LIFETIME = Duration.ofMinutes(10);

	private final StrikeTable strikes = new StrikeTable();

	private final SoundParts soundParts = new SoundParts();

	private final QuarantineRule rule = new QuarantineRule(this.strikes, this.soundParts);

	private final Consumer<QuarantineEvent> listener;

	private StrikeRegistry(Consumer<QuarantineEvent> listener) {
		this.listener = Objects.requireNonNull(listener, "listener must not be null");
	}

	/**
	 * Returns a registry without strikes.
	 * @param listener receives the events, on the calling thread
	 * @return the registry
	 */
	public static StrikeRegistry create(Consumer<QuarantineEvent> listener) {
		return new StrikeRegistry(listener);
	}

	/**
	 * Records a strike observed by this daemon, unless it is against a part of prompts
	 * that was proven sound lately.
	 * @param key the suspect and the process that crashed
	 * @param now the current time
	 * @return the strike to share with the other daemons, or empty if there is none or it
	 * was known
	 */
	public Optional<Strike> record(StrikeKey key, Instant now) {
		if (this.soundParts.contains(key.suspect(), now)) {
			return Optional.empty();
		}
		boolean blamed = this.rule.isToBlame(key.suspect(), now);
		Strike strike = new Strike(key, now.plus(STRIKE_LIFETIME));
		boolean added = this.strikes.put(key, strike.expires(), now);
		report((added) ? QuarantineEventKind.STRIKE_RECORDED : QuarantineEventKind.STRIKE_REPEATED, key, now);
		reportIfBegan(blamed, key.suspect(), now);
		return (added) ? Optional.of(strike) : Optional.empty();
	}

	/**
	 * Adds a strike received from another daemon. It counts no longer than one observed
	 * now. Ignored if it is known, was withdrawn or has expired.
	 * @param strike the strike
	 * @param now the current time
	 */
	public void accept(Strike strike, Instant now) {
		Instant latest = now.plus(STRIKE_LIFETIME);
		Instant expires = strike.expires().isAfter(latest) ? latest : strike.expires();
		if (!expires.isAfter(now)) {
			return;
		}
		boolean blamed = this.rule.isToBlame(strike.suspect(), now);
		if (this.strikes.putIfAbsent(strike.key(), expires, now)) {
			report(QuarantineEventKind.STRIKE_RECEIVED, strike.key(), now);
			reportIfBegan(blamed, strike.suspect(), now);
		}
	}

	/**
	 * Records that suspects crashed nothing, and withdraws all strikes against them.
	 * @param suspects the suspects
	 * @param now the current time
	 * @return keys of the strikes that counted until now
	 */
	public List<StrikeKey> clear(Collection<Suspect> suspects, Instant now) {
		List<StrikeKey> cleared = new ArrayList<>();
		for (Suspect suspect : suspects) {
			if (suspect.isPromptPart()) {
				this.soundParts.add(suspect, now);
			}
			this.strikes.processes(suspect, now).forEach((process) -> cleared.add(new StrikeKey(suspect, process)));
		}
		withdraw(cleared, now);
		return cleared;
	}

	/**
	 * Withdraws strikes. They are remembered until they expire, so that they do not count
	 * if they are received once more.
	 * @param keys the strikes
	 * @param now the current time
	 */
	public void withdraw(Collection<StrikeKey> keys, Instant now) {
		for (StrikeKey key : keys) {
			if (this.strikes.withdraw(key, now.plus(STRIKE_LIFETIME), now)) {
				report(QuarantineEventKind.CLEARED, key, now);
			}
		}
	}

	/**
	 * Returns whether a request is quarantined.
	 * @param request the request with the parts of its prompt
	 * @param now the current time
	 * @return what is to blame and until when, or empty if the request may run
	 */
	public Optional<Quarantine> quarantine(RequestSuspects request, Instant now) {
		return this.rule.verdict(request, now);
	}

	/**
	 * Drops expired strikes, and those of some suspects if there are too many.
	 * @param now the current time
	 */
	public void expire(Instant now) {
		this.strikes.expire(now);
		this.strikes.takeDropped().forEach((suspect) -> report(QuarantineEventKind.EXPIRED, suspect, null, now));
	}

	private void reportIfBegan(boolean before, Suspect suspect, Instant now) {
		if (!before && this.rule.isToBlame(suspect, now)) {
			report(QuarantineEventKind.BEGAN, suspect, null, now);
		}
	}

	private void report(QuarantineEventKind kind, StrikeKey key, Instant now) {
		report(kind, key.suspect(), key.process().server(), now);
	}

	private void report(QuarantineEventKind kind, Suspect suspect, @Nullable BackendServerId server, Instant now) {
		this.listener.accept(new QuarantineEvent(kind, suspect, server, this.strikes.count(suspect, now)));
	}

}
