/**
 * Adapters to the platform's services.
 */
@NullMarked
package org.sardineport.daemon.platform;

import org.jspecify.annotations.NullMarked;
