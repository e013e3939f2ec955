package org.sardineport.core.fencing;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.port.backend.EngineOrder;

/**
 * State machine of one order to one engine. The order is sent only while its intent is
 * the newest one for the engine in the log and was read back within the validity period.
 * An engine that ignores fencing numbers may still accept a delayed order of an earlier
 * holder. For such an engine the newest holder repeatedly verifies the order in force,
 * and repeats its own order with a new intent if it was undone. Not thread-safe.
 */
public final class FencedOrder {

	private final OrderIntent intent;

	private final boolean engineEnforcesFencing;

	private final Duration validity;

	private final Duration maxDelay;

	private long fencingNumber;

	private @Nullable Instant readBackAt;

	private @Nullable Instant verifyAt;

	private boolean sent;

	private boolean done;

	private boolean fenced;

	private boolean renewalRequired;

	private FencedOrder(OrderIntent intent, boolean engineEnforcesFencing, Duration validity, Duration maxDelay) {
		this.intent = Objects.requireNonNull(intent, "intent must not be null");
		this.engineEnforcesFencing = engineEnforcesFencing;
		this.validity = Objects.requireNonNull(validity, "validity must not be null");
		this.maxDelay = Objects.requireNonNull(maxDelay, "maxDelay must not be null");
	}

	/**
	 * Returns an order whose intent has not yet been read back from the log.
	 * @param intent the intent of the order
	 * @param engineEnforcesFencing whether the engine rejects orders with a fencing
	 * number lower than the highest it has accepted
	 * @param validity maximum time from reading the intent back to sending the order
	 * @param maxDelay maximum delivery time of a message to the engine; the order is
	 * verified after this time
	 * @return the order
	 */
	public static FencedOrder create(OrderIntent intent, boolean engineEnforcesFencing, Duration validity,
			Duration maxDelay) {
		return new FencedOrder(intent, engineEnforcesFencing, validity, maxDelay);
	}

	/**
	 * Records that this order's intent was read back from the log.
	 * @param offset offset of the intent's record, which becomes the fencing number
	 * @param now the current time
	 */
	public void intentReadBack(long offset, Instant now) {
		this.fencingNumber = offset;
		this.readBackAt = now;
		this.renewalRequired = false;
	}

	/**
	 * Returns the next action. It changes no state.
	 * @param log the intents read from the log so far
	 * @param now the current time
	 * @return the action; {@link OrderAction#STOP} once the log holds a later intent for
	 * the engine or the engine has rejected the order
	 */
	public OrderAction next(IntentLog log, Instant now) {
		if (this.readBackAt == null) {
			return OrderAction.WAIT;
		}
		OptionalLong newest = log.newest(this.intent.server());
		if (this.fenced || (newest.isPresent() && newest.getAsLong() > this.fencingNumber)) {
			return OrderAction.STOP;
		}
		if (this.done) {
			return OrderAction.DONE;
		}
		if (!this.sent) {
			boolean fresh = !this.renewalRequired && now.isBefore(this.readBackAt.plus(this.validity));
			return (fresh) ? OrderAction.SEND : OrderAction.RENEW;
		}
		return (this.verifyAt != null && !now.isBefore(this.verifyAt)) ? OrderAction.VERIFY : OrderAction.WAIT;
	}

	/**
	 * Records that the order was sent.
	 * @param now the current time
	 */
	public void sent(Instant now) {
		this.sent = true;
		this.verifyAt = now.plus(this.maxDelay);
	}

	/**
	 * Records that the engine rejected the order because it has accepted a higher fencing
	 * number.
	 */
	public void rejectedAsStale() {
		this.fenced = true;
	}

	/**
	 * Records the order that the engine reports as its last accepted one. If it is not
	 * this order, the intent must be renewed and the order sent again.
	 * @param current the last order accepted by the engine
	 * @param now the current time
	 */
	public void verified(EngineOrder current, Instant now) {
		boolean inForce = current.kind() == this.intent.kind() && current.argument().equals(this.intent.argument());
		if (inForce && this.engineEnforcesFencing) {
			this.done = true;
		}
		this.sent = inForce;
		this.verifyAt = now.plus(this.maxDelay);
		if (!inForce) {
			this.renewalRequired = true;
		}
	}

	/**
	 * Returns the order to send.
	 * @return the order with its fencing number
	 */
	public EngineOrder order() {
		return this.intent.order(this.fencingNumber);
	}

}
