package org.sardineport.bench.slope;

import java.util.Locale;

/**
 * Role of a daemon whose costs are measured.
 */
enum Role {

	/** Holds the requests of callers. */
	ENTRY,

	/** Hands out permits for its backend servers. */
	OWNER,

	/** Knows which daemons are alive. */
	MEMBER,

	/** Follows the configuration. */
	CONFIGURATION_REPLICA,

	/** Writes and replays the journal of keyed requests. */
	JOURNAL_WRITER,

	/** All roles together. */
	ALL;

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', ' ');
	}

}
