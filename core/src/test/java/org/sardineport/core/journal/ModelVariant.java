package org.sardineport.core.journal;

/**
 * What the model's daemons do; all but the first break a rule on purpose.
 */
enum ModelVariant {

	/** As the journal is. */
	SOUND,

	/** Sends when it asks for leave, without reading its record back. */
	SENDS_WITHOUT_READ_BACK,

	/** Says not-run at the deadline, without its release in the log. */
	REPORTS_NOT_RUN_UNSETTLED,

	/** Says not-run when it asks for the release, without reading it back. */
	REPORTS_NOT_RUN_BEFORE_RELEASE

}
