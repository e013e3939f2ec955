/**
 * Backend servers as known to the scheduler: the platform lists them as
 * {@link org.sardineport.core.backend.BackendServer}, and each one reports its load as
 * {@link org.sardineport.core.backend.LoadReport}.
 */
@NullMarked
package org.sardineport.core.backend;

import org.jspecify.annotations.NullMarked;
