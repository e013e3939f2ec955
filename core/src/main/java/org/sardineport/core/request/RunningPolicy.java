package org.sardineport.core.request;

/**
 * What may be done to a request once it runs.
 */
public enum RunningPolicy {

	/** May be cancelled for the top tier; its caller is told. */
	CANCELLABLE,

	/** May be interrupted only where the engine resumes the same stream. */
	RESUMABLE_ONLY,

	/** Must run to its end: non-idempotent work. */
	UNINTERRUPTIBLE;

	/**
	 * Returns whether the top tier may take the place of such a request.
	 * @param engineResumes whether the engine can resume the same stream
	 * @return whether preemption is allowed
	 */
	public boolean isPreemptible(boolean engineResumes) {
		return switch (this) {
			case CANCELLABLE -> true;
			case RESUMABLE_ONLY -> engineResumes;
			case UNINTERRUPTIBLE -> false;
		};
	}

}
