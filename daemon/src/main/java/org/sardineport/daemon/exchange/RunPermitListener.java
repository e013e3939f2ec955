package org.sardineport.daemon.exchange;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.request.Refusal;

/**
 * Passes the scheduler's decisions on the permits of a run to the run, on the run's
 * executor. Its methods may be called on any thread.
 */
final class RunPermitListener implements PermitListener {

	private final RequestRun run;

	private final SerialExecutor executor;

	RunPermitListener(RequestRun run, SerialExecutor executor) {
		this.run = run;
		this.executor = executor;
	}

	@Override
	public void granted(Permit permit) {
		this.executor.execute(() -> this.run.onGranted(permit));
	}

	@Override
	public void refused(Refusal refusal) {
		this.executor.execute(() -> this.run.onRefused(refusal));
	}

	@Override
	public void preempted(Permit permit) {
		this.executor.execute(() -> this.run.onPreempted(permit));
	}

}
