package org.sardineport.core.relay;

/**
 * What an organisation's limit counts.
 */
public enum LimitUnit {

	/** Requests, whatever their size. */
	REQUESTS {

		@Override
		long cost(int tokens) {
			return 1;
		}

	},

	/** Tokens of prompts and answers. */
	TOKENS {

		@Override
		long cost(int tokens) {
			return tokens;
		}

	};

	abstract long cost(int tokens);

}
