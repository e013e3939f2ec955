package org.sardineport.bench.slope;

import java.util.Locale;

/**
 * Role of a daemon whose costs are measured. The constants' names are the role labels of
 * the CSV files.
 */
enum Role {

	/** Accepts the requests of callers and holds them until they run. */
	ENTRY,

	/** Grants permits for the backend servers that it owns. */
	OWNER,

	/** Takes part in the membership protocol. */
	MEMBER,

	/** Replicates the configuration. */
	CONFIGURATION_REPLICA,

	/** Writes and replays the journal of keyed requests. */
	JOURNAL_WRITER,

	/** All roles together. */
	ALL;

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', ' ');
	}

}
