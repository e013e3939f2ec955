package org.sardineport.bench.response;

/**
 * Cost of a response on its way to the relay.
 *
 * @param nanosOfPart time for each part, in nanoseconds
 * @param messagesOfRead number of messages that each read brings
 */
record Cost(double nanosOfPart, double messagesOfRead) {

}
