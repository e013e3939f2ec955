package org.sardineport.daemon.exchange;

import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.Semaphore;

import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.exchange.RetryBudget;
import org.sardineport.core.journal.RequestJournal;
import org.sardineport.core.port.backend.ModelEngine;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * What all runs of a daemon use.
 *
 * @param scheduler gives permits
 * @param journal records keyed requests
 * @param engines sends requests and moves streams
 * @param clock the time
 * @param telemetry the metrics
 * @param retryBudget bounds retries
 * @param maximumAnswerBytes largest answer kept by the journal
 * @param suspendedStreams bounds the streams whose cache is held here at once
 */
public record RunServices(RequestScheduler scheduler, RequestJournal journal, ModelEngine engines, InstantSource clock,
		Telemetry telemetry, RetryBudget retryBudget, int maximumAnswerBytes, Semaphore suspendedStreams) {

	/** Most streams whose cache one daemon holds at once. */
	private static final int MAXIMUM_SUSPENDED_STREAMS = 16;

	/**
	 * Creates the services.
	 */
	public RunServices {
		Objects.requireNonNull(scheduler, "scheduler must not be null");
		Objects.requireNonNull(journal, "journal must not be null");
		Objects.requireNonNull(engines, "engines must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		Objects.requireNonNull(telemetry, "telemetry must not be null");
		Objects.requireNonNull(retryBudget, "retryBudget must not be null");
		Objects.requireNonNull(suspendedStreams, "suspendedStreams must not be null");
	}

	/**
	 * Returns the services of a daemon.
	 * @param scheduler gives permits
	 * @param journal records keyed requests
	 * @param engines sends requests and moves streams
	 * @param clock the time
	 * @param telemetry the metrics
	 * @param retryBudget bounds retries
	 * @param maximumAnswerBytes largest answer kept by the journal
	 * @return the services
	 */
	public static RunServices create(RequestScheduler scheduler, RequestJournal journal, ModelEngine engines,
			InstantSource clock, Telemetry telemetry, RetryBudget retryBudget, int maximumAnswerBytes) {
		return new RunServices(scheduler, journal, engines, clock, telemetry, retryBudget, maximumAnswerBytes,
				new Semaphore(MAXIMUM_SUSPENDED_STREAMS));
	}

}
