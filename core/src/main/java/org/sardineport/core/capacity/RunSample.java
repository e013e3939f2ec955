package org.sardineport.core.capacity;

/**
 * One run, as compared by {@link LoadCurve}.
 *
 * @param block interval in which the run ended
 * @param startedAt when it started, in milliseconds
 * @param endedAt when it ended, in milliseconds
 * @param load mean load of the backend server during the run
 * @param logLoad logarithm of the load
 * @param logMillis logarithm of the time for a unit of work, in milliseconds
 */
record RunSample(long block, long startedAt, long endedAt, double load, double logLoad, double logMillis) {

}
