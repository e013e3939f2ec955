/**
 * Finds out which software version began a stream, also after the daemon that served it
 * is gone. {@link org.sardineport.core.stream.OriginRegistry} tells a few daemons, chosen
 * by {@link org.sardineport.core.stream.OriginReplicas}, of each dispatch and asks them
 * when a caller takes a stream up again. {@link org.sardineport.core.stream.StreamRecord}
 * merges what several of them know. Times are milliseconds of one steady clock of the
 * daemon; only durations travel.
 */
@NullMarked
package org.sardineport.core.stream;

import org.jspecify.annotations.NullMarked;
