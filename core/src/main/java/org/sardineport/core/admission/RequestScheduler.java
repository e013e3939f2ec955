package org.sardineport.core.admission;

import java.util.Collection;

import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.capacity.StatedLoad;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.StatedLimits;
import org.sardineport.core.quarantine.Suspect;

/**
 * Schedules requests on backend servers. All methods return immediately and are
 * thread-safe. Decisions are reported to the {@link PermitListener}.
 */
public interface RequestScheduler {

	/**
	 * Queues a request for a permit. The listener receives exactly one permit or refusal,
	 * unless the request is abandoned first.
	 * @param request the request
	 * @param listener receives the decision
	 */
	void submit(SchedulingRequest request, PermitListener listener);

	/**
	 * Removes a waiting request whose caller has disconnected. Has no effect on a request
	 * that already has a permit.
	 * @param request the request
	 */
	void abandon(RequestId request);

	/**
	 * Releases a permit. Must be called exactly once per granted permit.
	 * @param permit the permit
	 * @param measurement measurement of the run
	 */
	void release(Permit permit, RunMeasurement measurement);

	/**
	 * Records the limits that a backend server stated in a response. They are applied to
	 * the requests of all daemons.
	 * @param process the process that responded
	 * @param limits the limits, or {@link StatedLimits#NONE} if it stated none
	 */
	void recordStatedLimits(BackendProcess process, StatedLimits limits);

	/**
	 * Records the load that a backend server stated in a response to this daemon.
	 * @param process the process that responded
	 * @param load the load
	 */
	default void recordStatedLoad(BackendProcess process, StatedLoad load) {
	}

	/**
	 * Records that a process of a backend server crashed while it ran a request. Requests
	 * that hold a suspect under which several processes crashed are refused.
	 * @param process the process
	 * @param suspects what may be to blame
	 */
	void recordCrash(BackendProcess process, Collection<Suspect> suspects);

	/**
	 * Records that suspects are not to blame for any crash: that a request completed with
	 * success, or that a backend server wrote an answer on parts of a prompt.
	 * @param suspects the request or the parts
	 */
	void recordSound(Collection<Suspect> suspects);

}
