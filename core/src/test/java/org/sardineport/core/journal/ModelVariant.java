package org.sardineport.core.journal;

/**
 * Behaviour of the simulated daemons. All variants but the first violate one rule of the
 * journal on purpose, to check that the model check detects it.
 */
enum ModelVariant {

	/** Follows all rules of the journal. */
	SOUND,

	/** Sends the request without waiting until its DISPATCHED record is read back. */
	SENDS_WITHOUT_READ_BACK,

	/** Reports not-run at the deadline without its RELEASED record in the log. */
	REPORTS_NOT_RUN_UNSETTLED,

	/** Reports not-run without waiting until its RELEASED record is read back. */
	REPORTS_NOT_RUN_BEFORE_RELEASE

}
