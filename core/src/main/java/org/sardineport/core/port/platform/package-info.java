/**
 * Port to the platform's list of VMs.
 */
@NullMarked
package org.sardineport.core.port.platform;

import org.jspecify.annotations.NullMarked;
