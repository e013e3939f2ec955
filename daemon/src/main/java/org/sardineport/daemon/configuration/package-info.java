/**
 * Maintains the configuration in force on this daemon. {@code ConfigurationService}
 * applies the records that {@code StreamReader} reads from the log service, and fetches
 * images of the configuration from peers when it is behind. {@code SnapshotWriter} writes
 * snapshots into the stream, and {@code ImageServer} serves images to peers.
 */
@NullMarked
package org.sardineport.daemon.configuration;

import org.jspecify.annotations.NullMarked;
