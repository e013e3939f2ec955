package org.sardineport.wire.configuration;

import org.sardineport.core.configuration.ConfigurationAnnouncement;
import org.sardineport.core.configuration.ConfigurationFetch;
import org.sardineport.core.configuration.ConfigurationMessage;
import org.sardineport.core.configuration.ImagePage;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.transport.MalformedMessageException;
import org.sardineport.wire.transport.PeerCodec;

/**
 * Codec of the messages by which daemons distribute the configuration. Thread-safe.
 */
public final class ConfigurationPeerCodec implements PeerCodec<ConfigurationMessage> {

	private ConfigurationPeerCodec() {
	}

	/**
	 * Creates a codec.
	 * @return the codec, which has no state
	 */
	public static ConfigurationPeerCodec create() {
		return new ConfigurationPeerCodec();
	}

	@Override
	public Class<ConfigurationMessage> type() {
		return ConfigurationMessage.class;
	}

	@Override
	public Envelope.BodyCase bodyCase() {
		return Envelope.BodyCase.CONFIGURATION;
	}

	@Override
	public void encode(ConfigurationMessage message, Envelope.Builder envelope) {
		org.sardineport.wire.message.ConfigurationMessage.Builder body = org.sardineport.wire.message.ConfigurationMessage
			.newBuilder();
		if (message instanceof ConfigurationFetch fetch) {
			body.setFetch(org.sardineport.wire.message.ConfigurationFetch.newBuilder()
				.setNewerThan(fetch.newerThan())
				.setIndex(fetch.index()));
		}
		else if (message instanceof ConfigurationAnnouncement announcement) {
			body.setAnnouncement(org.sardineport.wire.message.ConfigurationAnnouncement.newBuilder()
				.setVersion(announcement.version())
				.setAsOf(announcement.asOf())
				.setReady(announcement.ready()));
		}
		else if (message instanceof ImagePage page) {
			body.setPage(PageCodec.encode(page));
		}
		envelope.setConfiguration(body);
	}

	@Override
	public ConfigurationMessage decode(Envelope envelope) throws MalformedMessageException {
		org.sardineport.wire.message.ConfigurationMessage body = envelope.getConfiguration();
		return switch (body.getBodyCase()) {
			case FETCH -> new ConfigurationFetch(body.getFetch().getNewerThan(), body.getFetch().getIndex());
			case ANNOUNCEMENT -> new ConfigurationAnnouncement(body.getAnnouncement().getVersion(),
					body.getAnnouncement().getAsOf(), body.getAnnouncement().getReady());
			case PAGE -> PageCodec.decode(body.getPage());
			case BODY_NOT_SET -> throw MalformedMessageException.of("configuration message without a body");
		};
	}

}
