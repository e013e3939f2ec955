package org.sardineport.daemon.http;

import org.sardineport.core.request.Refusal;

/**
 * Receives the result of reading a request body. Exactly one method is called, once,
 * unless the reader is stopped first.
 */
interface BodyListener {

	void body(byte[] bytes);

	void refused(Refusal refusal);

}
