package org.sardineport.core.relay;

/**
 * Unit in which an organisation's limit is counted.
 */
public enum LimitUnit {

	/** Requests; each costs one unit, regardless of its size. */
	REQUESTS {

		@Override
		long cost(int tokens) {
			return 1;
		}

	},

	/** Tokens of prompt and response together. */
	TOKENS {

		@Override
		long cost(int tokens) {
			return tokens;
		}

	};

	abstract long cost(int tokens);

}
