package org.sardineport.core.configuration;

import java.util.Optional;

/**
 * Encodes images as bytes and decodes them. Free of side effects. Safe for use by any
 * thread.
 */
public interface ImageCodec {

	/**
	 * Encodes an image.
	 * @param image the image
	 * @return the encoded image
	 */
	byte[] encode(ConfigurationImage image);

	/**
	 * Decodes an image.
	 * @param bytes the encoded image
	 * @return the image, or empty if the bytes are not a valid image
	 */
	Optional<ConfigurationImage> decode(byte[] bytes);

}
