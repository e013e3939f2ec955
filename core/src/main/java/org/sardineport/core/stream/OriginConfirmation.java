package org.sardineport.core.stream;

import java.util.List;
import java.util.function.Consumer;

import org.sardineport.core.fleet.Member;

/**
 * Waits until other daemons remember a report about a run. It ends when all of them do,
 * or shortly later if at least {@link OriginRegistry#CONFIRMATIONS} do, and repeats the
 * report to those that have not replied. A report that attempts of several versions were
 * dispatched must be remembered by all.
 */
final class OriginConfirmation extends PendingReplies {

	private final StreamRun run;

	private final OriginReport report;

	private final int required;

	private final OriginEffects effects;

	private final Consumer<Boolean> listener;

	private int confirmations;

	OriginConfirmation(StreamRun run, OriginReport report, List<Member> told, long now, OriginEffects effects,
			Consumer<Boolean> listener) {
		super(run.key(), told, now, now + OriginRegistry.LOOKUP_TIMEOUT.toMillis());
		this.run = run;
		this.report = report;
		this.required = requiredOf(report.run().state(), told.size());
		this.effects = effects;
		this.listener = listener;
	}

	// One that knows of the first version only would answer a lookup with that version.
	private static int requiredOf(RunState state, int told) {
		return (state == RunState.SEVERAL) ? told : Math.min(OriginRegistry.CONFIRMATIONS, told);
	}

	@Override
	void accept(StreamRecord record, long now) {
		if (record.run(this.run.number()).filter(this::isConfirmed).isPresent()) {
			this.confirmations++;
		}
		if (this.confirmations >= this.required) {
			shortenTo(Math.max(now, startedAt() + OriginRegistry.CONFIRMATION_WINDOW.toMillis()));
		}
	}

	private boolean isConfirmed(RunOrigin known) {
		return known.merge(this.report.run()).equals(known);
	}

	@Override
	void tick(long now) {
		if (now - startedAt() >= OriginRegistry.REPEAT_AFTER.toMillis()) {
			awaited().forEach((address) -> this.effects.send(address, this.report));
		}
	}

	@Override
	void complete(long now) {
		boolean isConfirmed = this.confirmations >= this.required;
		this.listener.accept(isConfirmed);
		if (!isConfirmed) {
			this.effects.unconfirmed(this.run, this.confirmations);
		}
	}

}
