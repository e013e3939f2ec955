/**
 * Selects the backend server that a request is sent to. {@link PoolRouter} compares the
 * {@link ServerView}s of a pool by predicted finish time, from the speed that
 * {@link SpeedModel} estimates, the load that the owner daemon reports and the affinity
 * of prompt prefixes to backend servers.
 */
@NullMarked
package org.sardineport.core.routing;

import org.jspecify.annotations.NullMarked;
