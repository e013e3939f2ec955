package org.sardineport.core.configuration;

import java.util.Optional;

/**
 * Turns images into bytes and back. Pure. Safe for use by any thread.
 */
public interface ImageCodec {

	/**
	 * Encodes an image.
	 * @param image the image
	 * @return its bytes
	 */
	byte[] encode(ConfigurationImage image);

	/**
	 * Decodes an image.
	 * @param bytes its bytes
	 * @return the image, or empty if the bytes are none
	 */
	Optional<ConfigurationImage> decode(byte[] bytes);

}
