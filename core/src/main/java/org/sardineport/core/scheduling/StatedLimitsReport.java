package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.limit.StatedLimits;

/**
 * Message from entry to owner: the limits that a backend server stated in a response to
 * this entry. They are repeated before each permit request while there are any, so that
 * an owner that has just become one knows them.
 *
 * @param process the process that responded
 * @param limits the limits, or {@link StatedLimits#NONE} if it stated none
 * @param age time since the response
 */
public record StatedLimitsReport(BackendProcess process, StatedLimits limits,
		Duration age) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public StatedLimitsReport {
		Objects.requireNonNull(process, "process must not be null");
		Objects.requireNonNull(limits, "limits must not be null");
		Objects.requireNonNull(age, "age must not be null");
	}

}
