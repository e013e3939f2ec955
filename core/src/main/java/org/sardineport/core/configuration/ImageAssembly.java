package org.sardineport.core.configuration;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Assembles images from their pages. Pages may arrive twice, in any order, and
 * interleaved with those of other images. If there are too many incomplete images, the
 * least recently extended one is dropped. Not safe for use by several threads.
 */
public final class ImageAssembly {

	/** Maximum number of incomplete images. */
	private static final int MAX_IMAGES = 4;

	/** Maximum size of one image in bytes. */
	private static final long MAX_BYTES = 32L * 1024 * 1024;

	private final ImageCodec codec;

	private final Map<String, TreeMap<Integer, ImagePage>> images = new LinkedHashMap<>();

	private ImageAssembly(ImageCodec codec) {
		this.codec = Objects.requireNonNull(codec, "codec must not be null");
	}

	/**
	 * Returns an empty assembly.
	 * @param codec decodes complete images
	 * @return the assembly
	 */
	public static ImageAssembly create(ImageCodec codec) {
		return new ImageAssembly(codec);
	}

	/**
	 * Adds a page.
	 * @param page the page
	 * @return the image, if this page completed it and its bytes can be decoded
	 */
	public Optional<ConfigurationImage> add(ImagePage page) {
		TreeMap<Integer, ImagePage> pages = this.images.remove(page.id());
		if (pages == null || !isSameImage(pages.firstEntry().getValue(), page)) {
			pages = new TreeMap<>();
		}
		pages.put(page.index(), page);
		if (length(pages) > MAX_BYTES) {
			return Optional.empty();
		}
		if (pages.size() == page.count()) {
			return this.codec.decode(join(pages)).filter((image) -> image.version() == page.version());
		}
		this.images.put(page.id(), pages);
		if (this.images.size() > MAX_IMAGES) {
			this.images.remove(this.images.keySet().iterator().next());
		}
		return Optional.empty();
	}

	/**
	 * Returns the first missing page of an image.
	 * @param id identity of the image
	 * @return zero-based index of the page; 0 if the image is not known
	 */
	public int firstMissing(String id) {
		TreeMap<Integer, ImagePage> pages = this.images.get(id);
		int index = 0;
		while (pages != null && pages.containsKey(index)) {
			index++;
		}
		return index;
	}

	private static boolean isSameImage(ImagePage known, ImagePage page) {
		return known.count() == page.count() && known.version() == page.version();
	}

	private static long length(TreeMap<Integer, ImagePage> pages) {
		return pages.values().stream().mapToLong((page) -> page.part().length).sum();
	}

	private static byte[] join(TreeMap<Integer, ImagePage> pages) {
		byte[] image = new byte[(int) length(pages)];
		int position = 0;
		for (ImagePage page : pages.values()) {
			System.arraycopy(page.part(), 0, image, position, page.part().length);
			position += page.part().length;
		}
		return image;
	}

}
