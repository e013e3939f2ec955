package org.sardineport.daemon.http;

import org.sardineport.core.request.Refusal;

/**
 * Hears of a request's body: exactly one of the two, unless the reader is stopped.
 */
interface BodyListener {

	void body(byte[] bytes);

	void refused(Refusal refusal);

}
