package org.sardineport.wire.configuration;

import com.google.protobuf.UnsafeByteOperations;
import org.sardineport.core.configuration.ImagePage;
import org.sardineport.wire.message.ConfigurationPage;

/**
 * Codec of the pages into which configuration images are split.
 */
final class PageCodec {

	private PageCodec() {
	}

	static ConfigurationPage encode(ImagePage page) {
		return ConfigurationPage.newBuilder()
			.setId(page.id())
			.setVersion(page.version())
			.setIndex(page.index())
			.setCount(page.count())
			.setPart(UnsafeByteOperations.unsafeWrap(page.part()))
			.build();
	}

	/**
	 * Decodes a page.
	 * @param page the encoded page
	 * @return the decoded page
	 * @throws IllegalArgumentException if the index or the count is out of range
	 */
	static ImagePage decode(ConfigurationPage page) {
		return new ImagePage(page.getId(), page.getVersion(), page.getIndex(), page.getCount(),
				page.getPart().toByteArray());
	}

}
