package org.sardineport.daemon.exchange;

import java.time.InstantSource;
import java.util.Objects;

import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.exchange.RetryBudget;
import org.sardineport.core.journal.RequestJournal;
import org.sardineport.core.port.backend.PlainService;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * What all runs of a daemon use.
 *
 * @param scheduler gives permits
 * @param journal records keyed requests
 * @param backends sends requests
 * @param clock the time
 * @param telemetry the metrics
 * @param retryBudget bounds retries
 * @param maximumAnswerBytes largest answer kept by the journal
 */
public record RunServices(RequestScheduler scheduler, RequestJournal journal, PlainService backends,
		InstantSource clock, Telemetry telemetry, RetryBudget retryBudget, int maximumAnswerBytes) {

	/**
	 * Creates the services.
	 */
	public RunServices {
		Objects.requireNonNull(scheduler, "scheduler must not be null");
		Objects.requireNonNull(journal, "journal must not be null");
		Objects.requireNonNull(backends, "backends must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		Objects.requireNonNull(telemetry, "telemetry must not be null");
		Objects.requireNonNull(retryBudget, "retryBudget must not be null");
	}

}
