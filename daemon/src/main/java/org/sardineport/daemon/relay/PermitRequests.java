package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;

import io.vertx.core.Context;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.RefusedException;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.relay.RequestProgress;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Requests the permits for the attempts at one request, one at a time. Waits while all
 * backend servers of the pool are paused, and gives permits back that nobody can use any
 * more. Confined to the event loop.
 */
final class PermitRequests {

	private final RelayServices services;

	private final RelayRequest request;

	private final Context context;

	private final PoolName pool;

	private final PauseWait pauseWait;

	private final RequestProgress progress;

	private final AttemptPlanner planner;

	private final ResponseVersion version;

	private final PermitRequestsListener listener;

	private final RolloutSample sample;

	private @Nullable SchedulingRequest pending;

	PermitRequests(RelayServices services, RelayRequest request, PoolName pool, RequestProgress progress,
			AttemptPlanner planner, ResponseVersion version, PermitRequestsListener listener) {
		this.services = services;
		this.request = request;
		this.context = services.vertx().getOrCreateContext();
		this.pool = pool;
		this.pauseWait = new PauseWait(services, pool);
		this.progress = progress;
		this.planner = planner;
		this.version = version;
		this.listener = listener;
		this.sample = new RolloutSample(services.rollouts(), pool);
	}

	/**
	 * Requests a permit, while none is requested.
	 */
	void request() {
		PoolPause pause = PoolPause.now(this.services, this.pool, this.version);
		SchedulingRequest planned = this.planner.schedulingRequest(this.services.schedulingIds().get(), this.progress,
				pause.servers());
		SchedulingRequest schedulingRequest = this.sample.restrict(this.version.restrict(planned),
				this.progress.attempts());
		if (pause.isWhole()) {
			waitOrRefuse(pause, schedulingRequest);
			return;
		}
		this.pending = schedulingRequest;
		this.request.stages().ended(RequestStage.PREPARE);
		this.services.scheduler().submit(schedulingRequest, new EventLoopListener(schedulingRequest));
	}

	private void waitOrRefuse(PoolPause pause, SchedulingRequest schedulingRequest) {
		Duration wait = pause.untilFirst();
		boolean beginsInTime = now().plus(wait).isBefore(schedulingRequest.startDeadlines().startBy());
		boolean waits = this.progress.attempts() == 0 && beginsInTime && this.pauseWait.begin(pause, this::request);
		if (!waits) {
			this.listener.permitRefused(Refusal.retryAfter(RefusalReason.OVERLOADED,
					"each backend server of the pool asked for a pause, the first for %d ms more"
						.formatted(wait.toMillis()),
					wait));
		}
	}

	/**
	 * Returns whether the scheduler has yet to answer a request.
	 * @return {@code false} also during the wait for the end of a pause
	 */
	boolean isPending() {
		return this.pending != null;
	}

	/**
	 * Withdraws the request that the scheduler has yet to answer. The listener is not
	 * called for it.
	 * @return whether there was one
	 */
	boolean withdraw() {
		SchedulingRequest withdrawn = this.pending;
		if (withdrawn == null) {
			return false;
		}
		this.services.scheduler().abandon(withdrawn.id());
		this.pending = null;
		return true;
	}

	/**
	 * Withdraws the request and ends the wait for the end of a pause. The listener is not
	 * called any more.
	 */
	void end() {
		withdraw();
		this.pauseWait.end();
	}

	private void granted(SchedulingRequest schedulingRequest, Permit permit) {
		if (this.pending == schedulingRequest) {
			this.services.passes()
				.afterRecentPass(this.request.readInTurn(), () -> callerChecked(schedulingRequest, permit));
		}
		else {
			releaseUnused(permit);
		}
	}

	private void callerChecked(SchedulingRequest schedulingRequest, Permit permit) {
		if (this.pending != schedulingRequest) {
			this.services.overload().droppedBeforeDispatch();
			releaseUnused(permit);
			return;
		}
		this.pending = null;
		if (isCallerWaiting()) {
			checkGranted(schedulingRequest, permit);
		}
		else {
			releaseUnused(permit);
		}
	}

	private void checkGranted(SchedulingRequest schedulingRequest, Permit permit) {
		try {
			this.services.gate().recheck(this.request.admission());
			checkStop();
		}
		catch (RefusedException ex) {
			releaseUnused(permit);
			this.listener.permitRefused(ex.refusal());
			return;
		}
		if (permit.isValidAt(now()) && isUsable(schedulingRequest, permit)) {
			this.request.stages().ended(RequestStage.READ_PASS);
			this.listener.permitGranted(permit);
		}
		else {
			releaseUnused(permit);
			request();
		}
	}

	private void checkStop() throws RefusedException {
		if (!this.progress.mayHaveRun()) {
			this.services.stop().check(this.request);
		}
	}

	private boolean isUsable(SchedulingRequest schedulingRequest, Permit permit) {
		BackendServer server = permit.backendServer();
		return this.services.fleet().current().backendServers().contains(server)
				&& !this.services.notices().pauses().isPaused(server.process())
				&& this.version.allows(server.softwareVersion()) && this.sample.allows(server, schedulingRequest);
	}

	private void releaseUnused(Permit permit) {
		this.services.scheduler().release(permit, RunMeasurement.none(RunEnd.UNUSED));
	}

	private void refused(SchedulingRequest schedulingRequest, Refusal refusal) {
		if (this.pending == schedulingRequest) {
			this.pending = null;
			if (this.sample.leave()) {
				request();
			}
			else {
				this.listener.permitRefused(refusal);
			}
		}
	}

	// The timer of the deadline may be late itself; it ends the request.
	private boolean isCallerWaiting() {
		return now().isBefore(this.request.latestResponse());
	}

	private Instant now() {
		return this.services.clock().instant();
	}

	/**
	 * Passes the scheduler's decisions on to the event loop.
	 */
	private final class EventLoopListener implements PermitListener {

		private final SchedulingRequest schedulingRequest;

		/** Written by the scheduling thread before the decision is handed over. */
		private long acceptedAt;

		private long queuedAt;

		EventLoopListener(SchedulingRequest schedulingRequest) {
			this.schedulingRequest = schedulingRequest;
		}

		@Override
		public void accepted() {
			this.acceptedAt = millis();
		}

		@Override
		public void queued() {
			this.queuedAt = millis();
		}

		@Override
		public void granted(Permit permit) {
			long decidedAt = millis();
			PermitRequests.this.context.runOnContext((ignored) -> {
				recordStages(decidedAt);
				PermitRequests.this.granted(this.schedulingRequest, permit);
			});
		}

		@Override
		public void refused(Refusal refusal) {
			long decidedAt = millis();
			PermitRequests.this.context.runOnContext((ignored) -> {
				recordStages(decidedAt);
				PermitRequests.this.refused(this.schedulingRequest, refusal);
			});
		}

		private void recordStages(long decidedAt) {
			StageTimes stages = PermitRequests.this.request.stages();
			stages.ended(RequestStage.RING, this.acceptedAt);
			if (this.queuedAt > 0) {
				stages.ended(RequestStage.PERMIT, this.queuedAt);
				stages.ended(RequestStage.QUEUE, decidedAt);
			}
			else {
				stages.ended(RequestStage.PERMIT, decidedAt);
			}
			stages.ended(RequestStage.HAND_BACK);
		}

		private long millis() {
			return PermitRequests.this.services.clock().millis();
		}

		@Override
		public void preempted(Permit permit) {
			// Nothing to do: forwarded requests are in tiers below the top, the only
			// one that preempts, or run to completion.
		}

	}

}
