package org.sardineport.daemon.exchange;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;

/**
 * The permit of a run. Each permit that was granted is given back exactly once. Touched
 * on the run's executor only.
 */
final class PermitHolder {

	private final RequestScheduler scheduler;

	private final SchedulingRequest request;

	private @Nullable Permit permit;

	PermitHolder(RequestScheduler scheduler, SchedulingRequest request) {
		this.scheduler = scheduler;
		this.request = request;
	}

	void ask(PermitListener listener) {
		this.scheduler.submit(this.request, listener);
	}

	void stopAsking() {
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
	 * Gives back a permit that is not wanted any more.
	 * @param unwanted the permit
	 */
	void refuse(Permit unwanted) {
		this.scheduler.release(unwanted, RunMeasurement.none(RunEnd.UNUSED));
	}

	/**
	 * Gives the held permit back, if there is one.
	 * @param measurement what was measured of its use
	 */
	void release(RunMeasurement measurement) {
		Permit held = this.permit;
		if (held != null) {
			this.permit = null;
			this.scheduler.release(held, measurement);
		}
	}

}
