package org.sardineport.core.backend;

/**
 * Kind of software that a backend server runs.
 */
public enum BackendKind {

	/** Model engine with continuous batching and prompt prefix caching. */
	MODEL_ENGINE,

	/** Any service that is not a model engine. */
	PLAIN_SERVICE

}
