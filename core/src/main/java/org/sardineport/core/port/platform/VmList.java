package org.sardineport.core.port.platform;

import java.util.concurrent.CompletionStage;

/**
 * The platform's lagging list of live and leaving VMs. Safe for use by any thread.
 */
public interface VmList {

	/**
	 * Fetches the list.
	 * @return the list; fails with {@link VmListException} as its cause
	 */
	CompletionStage<VmListing> fetch();

}
