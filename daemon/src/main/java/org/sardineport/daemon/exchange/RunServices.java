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
 * Services shared by all runs of a daemon.
 *
 * @param scheduler grants permits
 * @param journal records keyed requests
 * @param engines sends requests and migrates streams
 * @param clock source of the current time
 * @param telemetry the metrics
 * @param retryBudget limits the retries of all runs
 * @param maxResponseBytes maximum size of a response body in the journal, in bytes
 * @param suspendedStreams limits the streams whose cache this daemon holds at once
 */
public record RunServices(RequestScheduler scheduler, RequestJournal journal, ModelEngine engines, InstantSource clock,
		Telemetry telemetry, RetryBudget retryBudget, int maxResponseBytes, Semaphore suspendedStreams) {

	/** Maximum number of streams whose cache a daemon holds at once. */
	private static final int MAX_SUSPENDED_STREAMS = 16;

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
	 * Creates the services of a daemon, with the default limit on suspended streams.
	 * @param scheduler grants permits
	 * @param journal records keyed requests
	 * @param engines sends requests and migrates streams
	 * @param clock source of the current time
	 * @param telemetry the metrics
	 * @param retryBudget limits the retries of all runs
	 * @param maxResponseBytes maximum size of a response body in the journal, in bytes
	 * @return the services
	 */
	public static RunServices create(RequestScheduler scheduler, RequestJournal journal, ModelEngine engines,
			InstantSource clock, Telemetry telemetry, RetryBudget retryBudget, int maxResponseBytes) {
		return new RunServices(scheduler, journal, engines, clock, telemetry, retryBudget, maxResponseBytes,
				new Semaphore(MAX_SUSPENDED_STREAMS));
	}

}
