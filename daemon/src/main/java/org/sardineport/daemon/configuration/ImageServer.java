package org.sardineport.daemon.configuration;

import java.util.List;

import org.sardineport.core.configuration.ConfigurationAnnouncement;
import org.sardineport.core.configuration.ConfigurationFetch;
import org.sardineport.core.configuration.ConfigurationMessage;
import org.sardineport.core.configuration.ConfigurationReplica;
import org.sardineport.core.configuration.ImageCodec;
import org.sardineport.core.configuration.ImagePage;

/**
 * Answers fetches of other daemons. Keeps the pages of the last image, as daemons that
 * are behind mostly ask for the same one. Not safe for use by several threads.
 */
final class ImageServer {

	/** Bytes of a page, which must fit into a datagram and survive some loss. */
	private static final int PAGE_BYTES = 8 * 1024;

	private final ImageCodec codec;

	private String cachedId = "";

	private List<ImagePage> cachedPages = List.of();

	private ImageServer(ImageCodec codec) {
		this.codec = codec;
	}

	static ImageServer create(ImageCodec codec) {
		return new ImageServer(codec);
	}

	ConfigurationMessage answer(ConfigurationFetch fetch, ConfigurationReplica replica, boolean ready) {
		long version = replica.state().version();
		if (fetch.newerThan() >= version) {
			return new ConfigurationAnnouncement(version, replica.asOf(), ready);
		}
		String id = "%d-%d-%d".formatted(version, replica.asOf(), fetch.newerThan());
		if (!id.equals(this.cachedId)) {
			byte[] image = this.codec.encode(replica.state().image(replica.asOf(), fetch.newerThan()));
			this.cachedPages = ImagePage.split(id, version, image, PAGE_BYTES);
			this.cachedId = id;
		}
		int index = Math.floorMod(fetch.index(), this.cachedPages.size());
		return this.cachedPages.get(index);
	}

}
