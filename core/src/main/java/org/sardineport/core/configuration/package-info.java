/**
 * Replicated configuration of the daemons: which profiles are in force.
 * {@link org.sardineport.core.configuration.ConfigurationReplica} replays the
 * publications of the configuration stream, and
 * {@link org.sardineport.core.configuration.PublicationRules} give each one a
 * deterministic verdict. A replica that misses records adopts a
 * {@link org.sardineport.core.configuration.ConfigurationImage}, taken from a snapshot in
 * the stream or fetched from another daemon.
 */
@NullMarked
package org.sardineport.core.configuration;

import org.jspecify.annotations.NullMarked;
