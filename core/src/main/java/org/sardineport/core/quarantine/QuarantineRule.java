package org.sardineport.core.quarantine;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.sardineport.core.backend.BackendProcess;

/**
 * Decides from the strikes whether a request may run. Every request that ran on a process
 * when it crashed has a strike, and so has each part of its prompt, though at most one of
 * all these is to blame. What the request itself does not hold may explain its strikes:
 * <ul>
 * <li>Crashes do not count at which another part was present that is to blame, and has no
 * fewer strikes than the suspect.</li>
 * <li>A request is quarantined with {@value #MIN_STRIKES_IF_UNAMBIGUOUS} strikes if
 * nothing else was present at as many of the same crashes, and with
 * {@value #MIN_STRIKES_IF_AMBIGUOUS} otherwise.</li>
 * <li>A part is quarantined with {@value #MIN_PART_STRIKES} strikes, unless one other
 * request was present at all of them but one.</li>
 * </ul>
 * A part that was proven sound lately is never to blame.
 */
final class QuarantineRule {

	/** Number of strikes that quarantine a request if no other can be to blame. */
	private static final int MIN_STRIKES_IF_UNAMBIGUOUS = 2;

	/** Number of strikes that quarantine a request even if another may be to blame. */
	private static final int MIN_STRIKES_IF_AMBIGUOUS = 3;

	/** Number of strikes that quarantine a part of prompts. */
	private static final int MIN_PART_STRIKES = 3;

	private static final Comparator<Suspect> NARROWEST_LAST = Comparator.comparing(Suspect::isPromptPart).reversed();

	private final StrikeTable strikes;

	private final SoundParts soundParts;

	QuarantineRule(StrikeTable strikes, SoundParts soundParts) {
		this.strikes = strikes;
		this.soundParts = soundParts;
	}

	/**
	 * Returns what quarantines a request, and until when.
	 * @param request the request with the parts of its prompt
	 * @param now the current time
	 * @return the verdict with the latest end, or empty if the request may run
	 */
	Optional<Quarantine> verdict(RequestSuspects request, Instant now) {
		return request.all()
			.stream()
			.filter((suspect) -> mayBeToBlame(suspect, now))
			.flatMap((suspect) -> verdict(suspect, othersThan(request), now).stream())
			.max(Comparator.comparing(Quarantine::until).thenComparing(Quarantine::suspect, NARROWEST_LAST));
	}

	private List<Suspect> othersThan(RequestSuspects request) {
		return this.strikes.suspects().stream().filter((other) -> !request.contains(other)).toList();
	}

	/**
	 * Returns whether a suspect is to blame, whatever parts a request holds beside it.
	 * @param suspect the suspect
	 * @param now the current time
	 * @return whether no other request explains its strikes
	 */
	boolean isToBlame(Suspect suspect, Instant now) {
		return mayBeToBlame(suspect, now) && verdict(suspect, otherRequests(suspect), now).isPresent();
	}

	private List<Suspect> otherRequests(Suspect suspect) {
		return this.strikes.suspects()
			.stream()
			.filter((other) -> !other.isPromptPart() && !other.equals(suspect))
			.toList();
	}

	private boolean mayBeToBlame(Suspect suspect, Instant now) {
		int minimum = suspect.isPromptPart() ? MIN_PART_STRIKES : MIN_STRIKES_IF_UNAMBIGUOUS;
		return this.strikes.count(suspect, now) >= minimum && !this.soundParts.contains(suspect, now);
	}

	private Optional<Quarantine> verdict(Suspect suspect, List<Suspect> others, Instant now) {
		Set<BackendProcess> crashes = this.strikes.processes(suspect, now);
		int count = crashes.size();
		others.stream()
			.filter((other) -> explains(other, count, now))
			.forEach((other) -> crashes.removeAll(this.strikes.processes(other, now)));
		if (suspect.isPromptPart() && isExplainedByOneRequest(crashes, others, now)) {
			return Optional.empty();
		}
		int needed = suspect.isPromptPart() ? MIN_PART_STRIKES : neededForRequest(crashes, others, now);
		return crashes.stream()
			.map((process) -> this.strikes.expiry(suspect, process))
			.sorted(Comparator.reverseOrder())
			.skip(needed - 1)
			.findFirst()
			.map((until) -> new Quarantine(suspect, until));
	}

	private boolean explains(Suspect other, int count, Instant now) {
		return other.isPromptPart() && this.strikes.count(other, now) >= count && isToBlame(other, now);
	}

	private boolean isExplainedByOneRequest(Set<BackendProcess> crashes, List<Suspect> others, Instant now) {
		return others.stream()
			.filter((other) -> !other.isPromptPart())
			.anyMatch((other) -> countShared(other, crashes, now) >= crashes.size() - 1);
	}

	private int neededForRequest(Set<BackendProcess> crashes, List<Suspect> others, Instant now) {
		boolean unambiguous = others.stream()
			.noneMatch((other) -> countShared(other, crashes, now) >= MIN_STRIKES_IF_UNAMBIGUOUS);
		return unambiguous ? MIN_STRIKES_IF_UNAMBIGUOUS : MIN_STRIKES_IF_AMBIGUOUS;
	}

	private int countShared(Suspect other, Set<BackendProcess> crashes, Instant now) {
		Set<BackendProcess> shared = this.strikes.processes(other, now);
		shared.retainAll(crashes);
		return shared.size();
	}

}
