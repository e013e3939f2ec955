package org.sardineport.core.journal;

import org.sardineport.core.identity.DaemonId;

/**
 * Failure detector for the processes that hold claims. Its result is only a hint: a wrong
 * one causes delay but never a second run.
 */
@FunctionalInterface
public interface HolderLiveness {

	/**
	 * Returns whether the holder is considered failed.
	 * @param holder the daemon
	 * @param boot number of the process of the daemon
	 * @return whether the process is considered failed
	 */
	boolean isFailed(DaemonId holder, long boot);

}
