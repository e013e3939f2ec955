package org.sardineport.core.exchange;

import java.util.Locale;

/**
 * What shows that a response has ended, and what follows from that. A connection that
 * breaks with an error is no end of a response.
 */
public enum ResponseEnd {

	/** The response reached the end that it states by its framing. */
	STATED {

		@Override
		public Completeness judge(ContentEnd content) {
			return (content == ContentEnd.INSIDE_EVENT) ? Completeness.INCOMPLETE : Completeness.COMPLETE;
		}

	},

	/** The connection ended, and the process that sent the response goes on. */
	CLOSED_BY_LIVE_PROCESS {

		@Override
		public Completeness judge(ContentEnd content) {
			return switch (content) {
				case OPAQUE -> Completeness.COMPLETE;
				case AFTER_EVENT -> Completeness.UNCONFIRMED;
				case BEFORE_FIRST_EVENT, INSIDE_EVENT -> Completeness.INCOMPLETE;
			};
		}

	},

	/**
	 * The connection ended, and nothing shows that the process goes on, whose end closes
	 * connections, too.
	 */
	CLOSED,

	/** The connection ended at the daemon that carried it, whose end closes it, too. */
	CLOSED_BY_HELPER;

	/**
	 * Decides whether a response with this end may be passed on as complete.
	 * @param content where in its content it ended
	 * @return the decision
	 */
	public Completeness judge(ContentEnd content) {
		return Completeness.INCOMPLETE;
	}

	/**
	 * Returns the name in logs.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
