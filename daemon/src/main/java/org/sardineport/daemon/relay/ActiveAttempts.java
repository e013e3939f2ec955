package org.sardineport.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The attempts at one request that have not ended, in the order of their dispatch. More
 * than one are active only while a replacement is made for silent ones. Confined to the
 * event loop.
 */
final class ActiveAttempts {

	private final List<PermittedAttempt> attempts = new ArrayList<>(2);

	void add(PermittedAttempt attempt) {
		this.attempts.add(attempt);
	}

	void remove(PermittedAttempt attempt) {
		this.attempts.remove(attempt);
	}

	boolean isEmpty() {
		return this.attempts.isEmpty();
	}

	boolean areSeveral() {
		return this.attempts.size() > 1;
	}

	boolean areAllSilent() {
		return this.attempts.stream().allMatch((each) -> each.attempt().isSilent());
	}

	boolean areAllContinuable() {
		return this.attempts.stream().allMatch((each) -> each.attempt().isContinuable());
	}

	boolean haveRest() {
		return this.attempts.stream().anyMatch((each) -> each.attempt().hasRest());
	}

	boolean contains(Attempt attempt) {
		return find(attempt).isPresent();
	}

	/**
	 * Returns an attempt with its permit.
	 * @param attempt the attempt
	 * @return the attempt with its permit
	 * @throws IllegalStateException if the attempt has ended
	 */
	PermittedAttempt get(Attempt attempt) {
		return find(attempt).orElseThrow(() -> new IllegalStateException("the attempt must not have ended"));
	}

	private Optional<PermittedAttempt> find(Attempt attempt) {
		return this.attempts.stream().filter((each) -> each.attempt() == attempt).findFirst();
	}

	void forEach(Consumer<PermittedAttempt> action) {
		this.attempts.forEach(action);
	}

	/**
	 * Removes the attempts that were dispatched before another one.
	 * @param kept the other one, which stays
	 * @return those removed
	 */
	List<PermittedAttempt> removeBefore(PermittedAttempt kept) {
		return removeAll(this.attempts.subList(0, this.attempts.indexOf(kept)));
	}

	/**
	 * Removes the attempts that were dispatched after another one.
	 * @param kept the other one, which stays
	 * @return those removed
	 */
	List<PermittedAttempt> removeAfter(PermittedAttempt kept) {
		return removeAll(this.attempts.subList(this.attempts.indexOf(kept) + 1, this.attempts.size()));
	}

	/**
	 * Removes all attempts.
	 * @return those removed
	 */
	List<PermittedAttempt> removeAll() {
		return removeAll(this.attempts);
	}

	private static List<PermittedAttempt> removeAll(List<PermittedAttempt> removed) {
		List<PermittedAttempt> copy = List.copyOf(removed);
		removed.clear();
		return copy;
	}

}
