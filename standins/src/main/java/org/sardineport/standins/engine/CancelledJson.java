package org.sardineport.standins.engine;

/**
 * Answer to a cancellation.
 */
record CancelledJson(boolean ran) {

}
