package org.sardineport.standins.service;

/**
 * What goes wrong with calls to a plain service.
 */
public enum ServiceFault {

	/** Nothing. */
	NONE,
	/** The call takes effect and its answer is lost. */
	RESPONSE_LOST,
	/** The call takes effect and its answer breaks off. */
	TRUNCATED,
	/** The call is answered with status 503 and has no effect. */
	REFUSED,
	/** The call takes effect and is never answered. */
	SILENT

}
