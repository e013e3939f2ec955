package org.sardineport.core.fencing;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.port.backend.EngineOrder;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an order of a paused earlier holder that undoes the order of a later
 * one.
 */
class FencedOrderTests {

	private static final Instant START = Instant.parse("2026-12-03T20:00:00Z");

	private static final Duration VALIDITY = Duration.ofSeconds(2);

	private static final Duration DELAY = Duration.ofSeconds(5);

	private static final BackendServerId SERVER = BackendServerId.of("worker-1");

	private final IntentLog log = IntentLog.create();

	private final FakeEngine engine = new FakeEngine();

	private Instant now = START;

	private long nextOffset = 10;

	private static OrderIntent intent(String holder, String model) {
		return new OrderIntent(SERVER, DaemonId.of(holder), EngineOrder.Kind.LOAD_MODEL, model);
	}

	private static FencedOrder order(String holder, String model, boolean engineEnforcesFencing) {
		return FencedOrder.create(intent(holder, model), engineEnforcesFencing, VALIDITY, DELAY);
	}

	private void readBack(FencedOrder order, OrderIntent intent) {
		this.log.add(this.nextOffset, intent);
		order.intentReadBack(this.nextOffset, this.now);
		this.nextOffset++;
	}

	// Executes the actions of an order until it waits or is final; returns the last
	// action.
	private OrderAction drive(FencedOrder order, OrderIntent intent) {
		OrderAction action = order.next(this.log, this.now);
		for (int step = 0; step < 10; step++) {
			switch (action) {
				case RENEW -> readBack(order, intent);
				case SEND -> send(order);
				case VERIFY -> order.verified(this.engine.current, this.now);
				default -> {
					return action;
				}
			}
			action = order.next(this.log, this.now);
		}
		throw new AssertionError("order reaches no resting state within 10 steps");
	}

	private void send(FencedOrder order) {
		order.sent(this.now);
		if (!this.engine.accept(order.order())) {
			order.rejectedAsStale();
		}
	}

	@Test
	void sendsNothingBeforeItsIntentIsReadBack() {
		assertThat(order("a", "m", true).next(this.log, this.now)).isEqualTo(OrderAction.WAIT);
	}

	@Test
	void renewsAnIntentWhoseValidityHasPassed() {
		FencedOrder order = order("a", "m", true);
		readBack(order, intent("a", "m"));
		this.now = START.plus(VALIDITY);
		assertThat(order.next(this.log, this.now)).isEqualTo(OrderAction.RENEW);
	}

	@Test
	void stopsWhenALaterIntentIsInTheLog() {
		FencedOrder order = order("a", "m", true);
		readBack(order, intent("a", "m"));
		this.log.add(this.nextOffset, intent("b", "n"));
		assertThat(order.next(this.log, this.now)).isEqualTo(OrderAction.STOP);
	}

	@Test
	void isDoneOnceAnEngineThatEnforcesFencingConfirms() {
		this.engine.enforcesFencing = true;
		FencedOrder order = order("a", "m", true);
		readBack(order, intent("a", "m"));
		drive(order, intent("a", "m"));
		this.now = this.now.plus(DELAY);
		assertThat(drive(order, intent("a", "m"))).isEqualTo(OrderAction.DONE);
	}

	/**
	 * Pause of the old holder between the decision to send and the sending of its order.
	 */
	enum Pause {

		SHORTER_THAN_THE_DELAY(Duration.ofSeconds(3)), LONGER_THAN_THE_DELAY(Duration.ofMinutes(10));

		private final Duration duration;

		Pause(Duration duration) {
			this.duration = duration;
		}

	}

	@ParameterizedTest
	@EnumSource
	void engineThatEnforcesFencingRejectsAPausedHolder(Pause pause) {
		this.engine.enforcesFencing = true;
		FencedOrder old = order("old", "old-model", true);
		readBack(old, intent("old", "old-model"));
		assertThat(old.next(this.log, this.now)).isEqualTo(OrderAction.SEND);
		FencedOrder newer = order("new", "new-model", true);
		readBack(newer, intent("new", "new-model"));
		drive(newer, intent("new", "new-model"));
		this.now = this.now.plus(pause.duration);
		send(old);
		assertThat(old.next(this.log, this.now)).isEqualTo(OrderAction.STOP);
		assertThat(this.engine.current.argument()).isEqualTo("new-model");
	}

	@ParameterizedTest
	@EnumSource
	void newestHolderRepairsAnEngineThatIgnoresFencing(Pause pause) {
		FencedOrder old = order("old", "old-model", false);
		readBack(old, intent("old", "old-model"));
		assertThat(old.next(this.log, this.now)).isEqualTo(OrderAction.SEND);
		FencedOrder newer = order("new", "new-model", false);
		readBack(newer, intent("new", "new-model"));
		drive(newer, intent("new", "new-model"));
		this.now = this.now.plus(pause.duration);
		drive(newer, intent("new", "new-model"));
		send(old);
		assertThat(this.engine.current.argument()).isEqualTo("old-model");
		this.now = this.now.plus(DELAY);
		drive(newer, intent("new", "new-model"));
		assertThat(this.engine.current.argument()).isEqualTo("new-model");
		assertThat(old.next(this.log, this.now)).isEqualTo(OrderAction.STOP);
	}

	/**
	 * Engine that rejects lower fencing numbers only if {@code enforcesFencing} is set.
	 */
	private static final class FakeEngine {

		private boolean enforcesFencing;

		private EngineOrder current = new EngineOrder(EngineOrder.Kind.LOAD_MODEL, "none", -1);

		boolean accept(EngineOrder order) {
			if (this.enforcesFencing && order.fencingNumber() < this.current.fencingNumber()) {
				return false;
			}
			this.current = order;
			return true;
		}

	}

}
