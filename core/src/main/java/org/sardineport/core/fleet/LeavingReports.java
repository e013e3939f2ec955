package org.sardineport.core.fleet;

import org.sardineport.core.backend.BackendProcess;

/**
 * Receives what backend servers say in their responses about leaving.
 */
@FunctionalInterface
public interface LeavingReports {

	/**
	 * Records that a process said that it is leaving. It gets no new work from then on,
	 * whatever the VM list says. Safe for use by any thread; repeating it has no effect.
	 * @param process the process
	 */
	void statedLeaving(BackendProcess process);

}
