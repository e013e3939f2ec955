package org.sardineport.core.configuration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * Part of an encoded image that fits into one log record or network frame.
 *
 * @param id identity of the image, the same on all its pages
 * @param version newest accepted version in the image
 * @param index zero-based index of the page
 * @param count number of pages of the image
 * @param part bytes of the page; the array is not copied and must not be changed
 */
public record ImagePage(String id, long version, int index, int count,
		byte[] part) implements ConfigurationRecord, ConfigurationMessage {

	/** Maximum number of pages of an image. */
	public static final int MAX_COUNT = 4096;

	/**
	 * Creates the page.
	 * @throws IllegalArgumentException if index or count is out of range
	 */
	public ImagePage {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(part, "part must not be null");
		if (count < 1 || count > MAX_COUNT || index < 0 || index >= count) {
			throw new IllegalArgumentException(
					"page must be within 1 to %d pages, found %d of %d".formatted(MAX_COUNT, index, count));
		}
	}

	/**
	 * Splits an encoded image into pages.
	 * @param id identity of the image
	 * @param version newest accepted version in the image
	 * @param image the encoded image
	 * @param maximumBytes maximum size of a page in bytes
	 * @return the pages in order, at least one
	 */
	public static List<ImagePage> split(String id, long version, byte[] image, int maximumBytes) {
		if (maximumBytes < 1) {
			throw new IllegalArgumentException("maximumBytes must be positive, found " + maximumBytes);
		}
		int count = Math.max(1, (image.length + maximumBytes - 1) / maximumBytes);
		List<ImagePage> pages = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			int start = index * maximumBytes;
			byte[] part = Arrays.copyOfRange(image, start, Math.min(image.length, start + maximumBytes));
			pages.add(new ImagePage(id, version, index, count, part));
		}
		return pages;
	}

	@Override
	public String toString() {
		return "ImagePage[id=%s, version=%d, index=%d, count=%d]".formatted(this.id, this.version, this.index,
				this.count);
	}

}
