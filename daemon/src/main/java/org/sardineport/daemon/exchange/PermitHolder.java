package org.sardineport.daemon.exchange;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;

/**
 * Holds the permit of a run. Each granted permit is released exactly once. Once the run
 * was sent to a backend server, further permits are requested for the software version of
 * that backend server only, as its stream cannot go on at another. Used on the run's
 * executor only.
 */
final class PermitHolder {

	private final RequestScheduler scheduler;

	private SchedulingRequest request;

	private @Nullable Permit permit;

	PermitHolder(RequestScheduler scheduler, SchedulingRequest request) {
		this.scheduler = scheduler;
		this.request = request;
	}

	void submit(PermitListener listener) {
		this.scheduler.submit(this.request, listener);
	}

	void abandon() {
		this.scheduler.abandon(this.request.id());
	}

	void hold(Permit granted) {
		if (this.permit != null) {
			throw new IllegalStateException("a run must hold one permit at a time");
		}
		this.permit = granted;
	}

	boolean isHeld() {
		return this.permit != null;
	}

	boolean holds(Permit candidate) {
		return candidate.equals(this.permit);
	}

	@Nullable Permit permit() {
		return this.permit;
	}

	/**
	 * Releases a granted permit that was never held.
	 * @param unused the permit
	 */
	void returnUnused(Permit unused) {
		this.scheduler.release(unused, RunMeasurement.none(RunEnd.UNUSED));
	}

	/**
	 * Releases the held permit, if there is one.
	 * @param measurement the measurement of the run under this permit
	 */
	void release(RunMeasurement measurement) {
		Permit held = this.permit;
		if (held != null) {
			this.permit = null;
			this.scheduler.release(held, measurement);
			recordCrashOrSuccess(held, measurement.end());
			requireVersionIfSent(held, measurement.end());
		}
	}

	private void requireVersionIfSent(Permit held, RunEnd end) {
		if (end.mayHaveRun()) {
			this.request = this.request.withRequiredVersion(held.backendServer().softwareVersion());
		}
	}

	private void recordCrashOrSuccess(Permit held, RunEnd end) {
		if (end == RunEnd.BROKEN) {
			this.scheduler.recordCrash(held.backendServer().process(), this.request.suspects().all());
		}
		else if (end == RunEnd.COMPLETED) {
			this.scheduler.recordSound(this.request.suspects().all());
		}
	}

}
