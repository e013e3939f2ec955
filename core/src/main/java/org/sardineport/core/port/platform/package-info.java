/**
 * Port to the platform's list of VMs. {@link VmList} fetches a {@link VmListing} of the
 * entry VMs and backend servers.
 */
@NullMarked
package org.sardineport.core.port.platform;

import org.jspecify.annotations.NullMarked;
