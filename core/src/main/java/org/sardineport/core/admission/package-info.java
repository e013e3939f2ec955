/**
 * Interface between the daemon's caller connections and the scheduler. A connection
 * submits a {@link SchedulingRequest} to the {@link RequestScheduler}, and its
 * {@link PermitListener} receives a {@link Permit} or a refusal. After the run it
 * releases the permit with a {@link RunMeasurement}.
 */
@NullMarked
package org.sardineport.core.admission;

import org.jspecify.annotations.NullMarked;
