package org.sardineport.standins.service;

/**
 * Fault that is injected into the calls to a plain service.
 */
public enum ServiceFault {

	/** No fault. */
	NONE,
	/** The call takes effect, and its response is lost. */
	RESPONSE_LOST,
	/** The call takes effect, and its response is truncated. */
	TRUNCATED,
	/** The call is rejected with status 503 and has no effect. */
	REFUSED,
	/** The call takes effect, and no response is ever sent. */
	SILENT

}
