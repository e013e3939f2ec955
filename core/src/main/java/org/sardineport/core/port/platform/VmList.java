package org.sardineport.core.port.platform;

import java.util.concurrent.CompletionStage;

/**
 * Access to the platform's list of live and leaving VMs, which may lag behind the actual
 * state. Thread-safe.
 */
public interface VmList {

	/**
	 * Fetches the current list.
	 * @return the list; fails with {@link VmListException} as its cause
	 */
	CompletionStage<VmListing> fetch();

}
