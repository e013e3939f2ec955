package org.sardineport.core.configuration;

import org.sardineport.core.port.peer.PeerMessage;

/**
 * A message between daemons about the configuration.
 */
public sealed interface ConfigurationMessage extends PeerMessage
		permits ConfigurationFetch, ConfigurationAnnouncement, ImagePage {

}
