/**
 * Carries out planned stops. {@link StopCoordinator} takes a daemon through the phases
 * that {@code core.stop} decides on, and calls the {@link StopActions} of that kind of
 * daemon.
 */
@NullMarked
package org.sardineport.daemon.stop;

import org.jspecify.annotations.NullMarked;
