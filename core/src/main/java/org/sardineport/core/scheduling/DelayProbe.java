package org.sardineport.core.scheduling;

/**
 * Message of a daemon to itself. It waits behind the messages of other daemons, and so
 * tells how long these wait until they are read.
 *
 * @param sequence number that grows with each probe of this run of the daemon
 */
public record DelayProbe(long sequence) implements SchedulingMessage {

}
