package org.sardineport.core.backend;

/**
 * Kind of a backend server.
 */
public enum BackendKind {

	/** A model engine that batches continuously and caches prompt prefixes. */
	MODEL_ENGINE,

	/** A plain service. */
	PLAIN_SERVICE

}
