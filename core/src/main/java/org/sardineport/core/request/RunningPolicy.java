package org.sardineport.core.request;

/**
 * Whether a running request may be interrupted.
 */
public enum RunningPolicy {

	/** May be cancelled in favour of the top tier; the caller gets a refusal. */
	CANCELLABLE,

	/** May be interrupted only if the engine can resume the same stream. */
	RESUMABLE_ONLY,

	/** Must run to completion, as its work is not idempotent. */
	UNINTERRUPTIBLE;

	/**
	 * Returns whether a request with this policy may be preempted by the top tier.
	 * @param engineCanResume whether the engine can resume the same stream
	 * @return {@code true} if preemption is allowed
	 */
	public boolean isPreemptible(boolean engineCanResume) {
		return switch (this) {
			case CANCELLABLE -> true;
			case RESUMABLE_ONLY -> engineCanResume;
			case UNINTERRUPTIBLE -> false;
		};
	}

}
