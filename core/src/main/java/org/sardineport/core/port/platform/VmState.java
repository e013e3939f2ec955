package org.sardineport.core.port.platform;

/**
 * State of a VM in the platform's list.
 */
public enum VmState {

	/** It works. */
	LIVE,

	/** It is about to go. */
	LEAVING

}
