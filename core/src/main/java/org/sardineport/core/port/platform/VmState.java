package org.sardineport.core.port.platform;

/**
 * State of a VM in the platform's list.
 */
public enum VmState {

	/** The VM is in service. */
	LIVE,

	/** The VM is about to be removed. */
	LEAVING

}
