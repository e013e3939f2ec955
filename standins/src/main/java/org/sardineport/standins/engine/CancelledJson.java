package org.sardineport.standins.engine;

/**
 * Response to the cancellation of a stream. Component names are part of the HTTP
 * protocol.
 *
 * @param ran whether the stream was running or waiting
 */
record CancelledJson(boolean ran) {

}
