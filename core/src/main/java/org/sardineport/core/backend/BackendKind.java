package org.sardineport.core.backend;

/**
 * Kind of software that a backend server runs.
 */
public enum BackendKind {

	/** Model engine with continuous batching and prompt prefix caching. */
	MODEL_ENGINE(false),

	/** Any service that is not a model engine. */
	PLAIN_SERVICE(true);

	private final boolean hasShortRuns;

	BackendKind(boolean hasShortRuns) {
		this.hasShortRuns = hasShortRuns;
	}

	/**
	 * Returns whether runs take some tens of milliseconds, so that many permits a second
	 * are granted.
	 * @return whether the permits of one backend server take much processor time
	 */
	public boolean hasShortRuns() {
		return this.hasShortRuns;
	}

}
