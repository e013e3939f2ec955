package org.sardineport.daemon.exchange;

import java.time.Duration;
import java.time.InstantSource;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Makes a dispatched run give its place to the top tier. Its stream is moved where the
 * engine allows it; else it is cancelled if its policy allows that, and runs on beside
 * the top tier if not. Touched on the run's executor only.
 */
final class Preemption {

	private final RequestRun run;

	private final SchedulingRequest scheduling;

	private final StreamMove move;

	private final SerialExecutor executor;

	private final InstantSource clock;

	private final Telemetry telemetry;

	private @Nullable BackendException lostWhileExporting;

	Preemption(RequestRun run, RunServices services, SchedulingRequest scheduling, SerialExecutor executor) {
		this.run = run;
		this.scheduling = scheduling;
		this.executor = executor;
		this.clock = services.clock();
		this.telemetry = services.telemetry();
		this.move = new StreamMove(services, scheduling.id().value(), executor);
	}

	StreamMove move() {
		return this.move;
	}

	void preempt(Permit taken) {
		if (!this.move.tryExport(taken.backendServer(), this::onSuspended, this::onNotMoved)) {
			onNotMoved();
		}
	}

	/**
	 * Takes the failure of an exchange whose stream is being exported: the engine lets go
	 * of such a stream, and the export's answer decides.
	 * @param failure the failure
	 * @return whether the failure is held back
	 */
	boolean holdsBack(BackendException failure) {
		if (!this.move.isExporting() || failure.failure() == BackendFailure.TIMED_OUT) {
			return false;
		}
		this.lostWhileExporting = failure;
		return true;
	}

	private void onNotMoved() {
		BackendException lost = this.lostWhileExporting;
		if (lost != null) {
			this.run.onExchangeLost(lost);
		}
		else if (this.scheduling.runningPolicy().isPreemptible(false)) {
			this.run.cancelPreempted();
		}
	}

	private void onSuspended() {
		this.lostWhileExporting = null;
		if (this.run.suspend()) {
			this.telemetry.counter("streams.suspended").inc();
		}
		else {
			this.move.close();
		}
	}

	/**
	 * Takes the refusal of another permit. Work that must not be cancelled asks again.
	 * @param refusal why
	 */
	void refused(Refusal refusal) {
		Duration wait = refusal.retryAfter();
		boolean mayWait = this.scheduling.runningPolicy() == RunningPolicy.RESUMABLE_ONLY && wait != null;
		if (mayWait && this.clock.instant().plus(wait).isBefore(this.scheduling.deadline())) {
			this.executor.schedule(wait, this.run::submitSuspended);
		}
		else {
			this.run.failMoved();
		}
	}

	/**
	 * Goes on with the stream elsewhere.
	 * @param permit leave to run there
	 */
	void continueOn(Permit permit) {
		this.move.importTo(permit.backendServer(), () -> onImported(permit), this.run::failMoved);
	}

	private void onImported(Permit permit) {
		this.telemetry.counter("streams.resumed").inc();
		RunAttempt resumed = new RunAttempt(this.run, this.executor, true);
		this.run.resumed(resumed, this.move.resume(permit.backendServer(), resumed));
	}

}
