package org.sardineport.core.journal;

import org.sardineport.core.identity.DaemonId;

/**
 * Says whether the process that holds a claim is gone. Only a hint: a wrong answer costs
 * time and breaks no promise.
 */
@FunctionalInterface
public interface HolderLiveness {

	/**
	 * Returns whether the holder is taken to be gone.
	 * @param holder the daemon
	 * @param boot number of its process
	 * @return whether it is gone
	 */
	boolean isGone(DaemonId holder, long boot);

}
