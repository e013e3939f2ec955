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
 * Preempts a dispatched run in favour of the top tier. If the engine can export the
 * stream, the stream migrates to another backend server. Otherwise the run is cancelled
 * if its policy allows that; if not, it continues alongside the top tier. Used on the
 * run's executor only.
 */
final class Preemption {

	private final RequestRun run;

	private final SchedulingRequest scheduling;

	private final StreamMigration migration;

	private final SerialExecutor executor;

	private final InstantSource clock;

	private final Telemetry telemetry;

	private @Nullable BackendException failureDuringExport;

	Preemption(RequestRun run, RunServices services, SchedulingRequest scheduling, SerialExecutor executor) {
		this.run = run;
		this.scheduling = scheduling;
		this.executor = executor;
		this.clock = services.clock();
		this.telemetry = services.telemetry();
		this.migration = new StreamMigration(services, scheduling.id().value(), executor);
	}

	StreamMigration migration() {
		return this.migration;
	}

	void preempt(Permit revoked) {
		if (!this.migration.tryExport(revoked.backendServer(), this::onSuspended, this::onNotMigrated)) {
			onNotMigrated();
		}
	}

	/**
	 * Defers the failure of an exchange while its stream is being exported. An engine
	 * closes a stream that it exports, so the result of the export decides whether the
	 * run failed. Time-outs are not deferred.
	 * @param failure the failure
	 * @return whether the failure is deferred
	 */
	boolean deferFailure(BackendException failure) {
		if (!this.migration.isExporting() || failure.failure() == BackendFailure.TIMED_OUT) {
			return false;
		}
		this.failureDuringExport = failure;
		return true;
	}

	private void onNotMigrated() {
		BackendException deferred = this.failureDuringExport;
		if (deferred != null) {
			this.run.onExchangeFailed(deferred);
		}
		else if (this.scheduling.runningPolicy().isPreemptible(false)) {
			this.run.cancelPreempted();
		}
	}

	private void onSuspended() {
		this.failureDuringExport = null;
		if (this.run.suspend()) {
			this.telemetry.counter("streams.suspended").inc();
		}
		else {
			this.migration.close();
		}
	}

	/**
	 * Handles the refusal of a permit to resume with. A run that must not be cancelled
	 * requests a permit again after the retry delay, if that ends before the deadline;
	 * any other run fails.
	 * @param refusal the refusal
	 */
	void refused(Refusal refusal) {
		Duration wait = refusal.retryAfter();
		boolean mayWait = this.scheduling.runningPolicy() == RunningPolicy.RESUMABLE_ONLY && wait != null;
		if (mayWait && this.clock.instant().plus(wait).isBefore(this.scheduling.deadline())) {
			this.executor.schedule(wait, this.run::submitSuspended);
		}
		else {
			this.run.failMigration();
		}
	}

	/**
	 * Imports the stream into the backend server of a permit and resumes it there.
	 * @param permit the new permit
	 */
	void resumeOn(Permit permit) {
		this.migration.importTo(permit.backendServer(), () -> onImported(permit), this.run::failMigration);
	}

	private void onImported(Permit permit) {
		this.telemetry.counter("streams.resumed").inc();
		RunAttempt resumed = new RunAttempt(this.run, this.executor, true);
		this.run.resumed(resumed, this.migration.resume(permit.backendServer(), resumed));
	}

}
