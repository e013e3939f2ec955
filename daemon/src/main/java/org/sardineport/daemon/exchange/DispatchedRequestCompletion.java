package org.sardineport.daemon.exchange;

import java.time.Instant;
import java.time.InstantSource;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.exchange.RequestLifecycle;
import org.sardineport.core.exchange.RequestPhase;
import org.sardineport.core.exchange.RunVerdict;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.request.Outcome;

/**
 * Completes a request that was sent to a backend server: enters its final phase, releases
 * its permit, ends the caller's response and records the end. Counterpart of
 * {@link UnsentRequestCompletion}. Used on the run's executor only.
 */
final class DispatchedRequestCompletion {

	private final RequestLifecycle life;

	private final PermitHolder permit;

	private final ResponseRelay relay;

	private final StreamMigration migration;

	private final DispatchRecorder recorder;

	private final InstantSource clock;

	private final Runnable whenEnded;

	/**
	 * Creates the completion of one run.
	 * @param life phase of the request
	 * @param permit the permit to release
	 * @param relay the caller's response
	 * @param migration the migration to close
	 * @param recorder records the end
	 * @param clock source of the current time
	 * @param whenEnded called once the request has ended
	 */
	DispatchedRequestCompletion(RequestLifecycle life, PermitHolder permit, ResponseRelay relay,
			StreamMigration migration, DispatchRecorder recorder, InstantSource clock, Runnable whenEnded) {
		this.life = life;
		this.permit = permit;
		this.relay = relay;
		this.migration = migration;
		this.recorder = recorder;
		this.clock = clock;
		this.whenEnded = whenEnded;
	}

	/**
	 * Completes the request after the last byte of the backend server's response. A
	 * response with a server error is a failure.
	 * @throws IllegalStateException if the request is not dispatched
	 */
	void complete() {
		RunVerdict rejection = this.relay.rejection();
		if (rejection != null) {
			fail(rejection, BackendFailure.NOT_SUPPORTED);
			return;
		}
		if (!this.life.tryEnter(RequestPhase.COMPLETED)) {
			throw new IllegalStateException(
					"%s must not follow %s".formatted(RequestPhase.COMPLETED, this.life.phase()));
		}
		this.migration.close();
		this.permit.release(this.relay.measurement(RunEnd.COMPLETED, now()));
		this.recorder.finish(Outcome.COMPLETED, this.relay.complete(now()));
		this.whenEnded.run();
	}

	/**
	 * Fails the request after its exchange with the backend server failed. A server error
	 * that was received before takes precedence as the reason.
	 * @param failure how the exchange failed
	 * @param preempted whether this daemon cancelled the exchange in favour of the top
	 * tier
	 */
	void failExchange(BackendFailure failure, boolean preempted) {
		RunVerdict rejection = this.relay.rejection();
		fail((rejection != null) ? rejection : RunVerdict.of(failure, preempted), failure);
	}

	/**
	 * Fails the request with an unknown outcome. Has no effect if it has ended already.
	 * @param failure the reason
	 * @param preempted whether the run was preempted in favour of the top tier
	 */
	void fail(BackendFailure failure, boolean preempted) {
		fail(RunVerdict.of(failure, preempted), failure);
	}

	private void fail(RunVerdict verdict, BackendFailure failure) {
		if (!this.life.tryEnter((failure == BackendFailure.CANCELLED) ? RequestPhase.CANCELLED : RequestPhase.FAILED)) {
			return;
		}
		this.permit.release(this.relay.measurement(verdict.end(), now()));
		this.relay.fail(verdict);
		this.migration.close();
		this.recorder.finish(Outcome.UNKNOWN, null);
		this.whenEnded.run();
	}

	private Instant now() {
		return this.clock.instant();
	}

}
