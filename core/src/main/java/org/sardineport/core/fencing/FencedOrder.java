package org.sardineport.core.fencing;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.port.backend.EngineOrder;

/**
 * One order to one engine, from its intent to its end. The order is sent only while its
 * intent is the newest in the log and was read back a short time ago. An engine that
 * ignores fencing numbers may still take a late order of an older holder, so that the
 * newest holder asks for the engine's state again and again, and repeats its order, with
 * a new intent, where it was undone. Not safe for use by several threads.
 */
public final class FencedOrder {

	private final OrderIntent intent;

	private final boolean engineChecks;

	private final Duration validity;

	private final Duration longestDelay;

	private long number;

	private @Nullable Instant readBackAt;

	private @Nullable Instant verifyAt;

	private boolean sent;

	private boolean done;

	private boolean fenced;

	private boolean renew;

	private FencedOrder(OrderIntent intent, boolean engineChecks, Duration validity, Duration longestDelay) {
		this.intent = Objects.requireNonNull(intent, "intent must not be null");
		this.engineChecks = engineChecks;
		this.validity = Objects.requireNonNull(validity, "validity must not be null");
		this.longestDelay = Objects.requireNonNull(longestDelay, "longestDelay must not be null");
	}

	/**
	 * Returns an order whose intent is not in the log yet.
	 * @param intent what to do
	 * @param engineChecks whether the engine refuses orders with old numbers
	 * @param validity longest time from reading the intent back to sending the order
	 * @param longestDelay longest time that a message to the engine is under way
	 * @return the order
	 */
	public static FencedOrder create(OrderIntent intent, boolean engineChecks, Duration validity,
			Duration longestDelay) {
		return new FencedOrder(intent, engineChecks, validity, longestDelay);
	}

	/**
	 * Tells that the own intent was read back from the log.
	 * @param offset offset of its record
	 * @param now the current time
	 */
	public void intentReadBack(long offset, Instant now) {
		this.number = offset;
		this.readBackAt = now;
		this.renew = false;
	}

	/**
	 * Returns what to do now.
	 * @param log the intents as read
	 * @param now the current time
	 * @return the action
	 */
	public OrderAction next(IntentLog log, Instant now) {
		if (this.readBackAt == null) {
			return OrderAction.WAIT;
		}
		OptionalLong newest = log.newest(this.intent.server());
		if (this.fenced || (newest.isPresent() && newest.getAsLong() > this.number)) {
			return OrderAction.STOP;
		}
		if (this.done) {
			return OrderAction.DONE;
		}
		if (!this.sent) {
			boolean fresh = !this.renew && now.isBefore(this.readBackAt.plus(this.validity));
			return (fresh) ? OrderAction.SEND : OrderAction.RENEW;
		}
		return (this.verifyAt != null && !now.isBefore(this.verifyAt)) ? OrderAction.VERIFY : OrderAction.WAIT;
	}

	/**
	 * Tells that the order was sent.
	 * @param now the current time
	 */
	public void sent(Instant now) {
		this.sent = true;
		this.verifyAt = now.plus(this.longestDelay);
	}

	/**
	 * Tells that the engine refused the order for an older number than it has seen.
	 */
	public void refusedAsOld() {
		this.fenced = true;
	}

	/**
	 * Tells which order the engine took last.
	 * @param current the engine's answer
	 * @param now the current time
	 */
	public void verified(EngineOrder current, Instant now) {
		boolean inForce = current.kind() == this.intent.kind() && current.argument().equals(this.intent.argument());
		if (inForce && this.engineChecks) {
			this.done = true;
		}
		this.sent = inForce;
		this.verifyAt = now.plus(this.longestDelay);
		if (!inForce) {
			this.renew = true;
		}
	}

	/**
	 * Returns the order as it is sent.
	 * @return the order with its fencing number
	 */
	public EngineOrder order() {
		return this.intent.order(this.number);
	}

}
