/**
 * HTTP clients for the platform's list of VMs and its log service.
 */
@NullMarked
package org.sardineport.daemon.platform;

import org.jspecify.annotations.NullMarked;
