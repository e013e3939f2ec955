package org.sardineport.daemon.configuration;

import java.util.List;

import org.sardineport.core.configuration.ConfigurationAnnouncement;
import org.sardineport.core.configuration.ConfigurationFetch;
import org.sardineport.core.configuration.ConfigurationImage;
import org.sardineport.core.configuration.ConfigurationMessage;
import org.sardineport.core.configuration.ConfigurationReplica;
import org.sardineport.core.configuration.ConfigurationState;
import org.sardineport.core.configuration.ImageCodec;
import org.sardineport.core.configuration.ImagePage;
import org.sardineport.core.configuration.RecentChanges;

/**
 * Responds to configuration fetches of other daemons. Caches the pages of the last image,
 * because daemons that are behind mostly request the same one. Not safe for use by
 * several threads.
 */
final class ImageServer {

	/** Page size in bytes; a page must fit into a datagram and survive some loss. */
	private static final int PAGE_BYTES = 8 * 1024;

	private final ImageCodec codec;

	private final RecentChanges changes = RecentChanges.create();

	private ConfigurationState state = ConfigurationState.EMPTY;

	private String cachedId = "";

	private List<ImagePage> cachedPages = List.of();

	private ImageServer(ImageCodec codec) {
		this.codec = codec;
	}

	static ImageServer create(ImageCodec codec) {
		return new ImageServer(codec);
	}

	/**
	 * Replaces the served state and records its changes for patches.
	 * @param next the new state
	 */
	void update(ConfigurationState next) {
		this.changes.recordChanges(this.state, next);
		this.state = next;
	}

	ConfigurationMessage respond(ConfigurationFetch fetch, ConfigurationReplica replica, boolean ready) {
		long version = replica.state().version();
		if (fetch.newerThan() >= version) {
			return new ConfigurationAnnouncement(version, replica.asOf(), ready);
		}
		String id = "%d-%d-%d".formatted(version, replica.asOf(), fetch.newerThan());
		if (!id.equals(this.cachedId)) {
			ConfigurationImage unpatched = replica.state().image(replica.asOf(), fetch.newerThan());
			byte[] image = this.codec.encode(this.changes.withPatches(unpatched));
			this.cachedPages = ImagePage.split(id, version, image, PAGE_BYTES);
			this.cachedId = id;
		}
		int index = Math.floorMod(fetch.index(), this.cachedPages.size());
		return this.cachedPages.get(index);
	}

}
