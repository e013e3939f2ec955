package org.sardineport.core.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.quarantine.Quarantine;
import org.sardineport.core.quarantine.StrikeRegistry;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.routing.PoolRouter;
import org.sardineport.core.routing.ServerView;

/**
 * Accounting of an entry beyond its pending and running requests: quarantine, token
 * quotas of organisations, and prefix-cache hits. Not thread-safe.
 */
final class EntryAccounting {

	private final PoolDirectory directory;

	private final StrikeRegistry strikes;

	private final OrganisationQuotas quotas;

	private final InstantSource clock;

	EntryAccounting(PoolDirectory directory, StrikeRegistry strikes, OrganisationQuotas quotas, InstantSource clock) {
		this.directory = directory;
		this.strikes = strikes;
		this.quotas = quotas;
		this.clock = clock;
	}

	/**
	 * Returns the refusal of a request if it is quarantined.
	 * @param request the request
	 * @return the refusal, or empty if it may run
	 */
	Optional<Refusal> quarantineRefusal(SchedulingRequest request) {
		Instant now = this.clock.instant();
		return this.strikes.quarantine(request.suspects(), now).map((quarantine) -> refusal(quarantine, now));
	}

	private static Refusal refusal(Quarantine quarantine, Instant now) {
		String ran = quarantine.suspect().isPromptPart() ? "requests that share a part of its prompt" : "this request";
		String cause = "backend servers crashed while they ran %s, fingerprint %s".formatted(ran,
				quarantine.suspect().fingerprint());
		return Refusal.retryAfter(RefusalReason.QUARANTINED, cause, Duration.between(now, quarantine.until()));
	}

	/**
	 * Charges the tokens of an arriving request to its organisation.
	 * @param request the request
	 * @param decision receives the refusal, or empty if its organisation is within its
	 * limit; called at once or later, unless the request is abandoned
	 */
	void spendTokens(SchedulingRequest request, Consumer<Optional<Refusal>> decision) {
		this.quotas.spend(request, this.clock.millis(), decision);
	}

	/**
	 * Drops the decision on the tokens of a request. Has no effect once it has been
	 * taken.
	 * @param request the request
	 */
	void abandon(RequestId request) {
		this.quotas.abandon(request);
	}

	/**
	 * Refunds the tokens of a request that did not run.
	 * @param request the request
	 */
	void refundTokens(SchedulingRequest request) {
		this.quotas.refund(request);
	}

	/**
	 * Updates cache statistics and quotas after a run has ended.
	 * @param run the run
	 * @param measurement what was measured
	 */
	void recordRun(RunningRequest run, RunMeasurement measurement) {
		SchedulingRequest request = run.request();
		if (measurement.end() == RunEnd.COMPLETED) {
			observeCache(run, measurement);
		}
		else if (!measurement.end().mayHaveRun()) {
			this.quotas.refund(request);
		}
	}

	private void observeCache(RunningRequest run, RunMeasurement measurement) {
		PoolRouter router = this.directory.router(run.request().pool());
		ServerView view = this.directory.view(run.permit().backendServer().id());
		if (router != null && view != null && router.isHome(view, run.request().prefixHash())) {
			router.observeHome(measurement.promptTokens(), measurement.cachedPromptTokens());
		}
	}

}
