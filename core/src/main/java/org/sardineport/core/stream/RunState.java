package org.sardineport.core.stream;

/**
 * How much is known of the version that began a run, from least to most. Knowledge only
 * grows: a later constant supersedes an earlier one.
 */
public enum RunState {

	/** Attempts of one version were dispatched. */
	DISPATCHED,

	/** Attempts of several versions were dispatched and none is confirmed. */
	SEVERAL,

	/** The first event came from a known version. */
	BEGUN,

	/**
	 * Two versions were reported to have brought the first event, or a process that was
	 * not the one listed.
	 */
	CONTRADICTORY

}
