package org.sardineport.standins.stream;

import org.sardineport.core.stream.StreamOrigin;

/**
 * Counts how lookups of streams that began ended.
 */
final class ResumeCounts {

	private int found;

	private int unknown;

	private int ambiguous;

	private int wrong;

	void add(BegunStream stream, StreamOrigin origin) {
		if (origin == StreamOrigin.UNKNOWN) {
			this.unknown++;
		}
		else if (origin == StreamOrigin.AMBIGUOUS) {
			this.ambiguous++;
		}
		else if (origin.equals(StreamOrigin.of(stream.version()))) {
			this.found++;
		}
		else {
			this.wrong++;
		}
	}

	int wrong() {
		return this.wrong;
	}

	int total() {
		return this.found + this.unknown + this.ambiguous + this.wrong;
	}

	double shareFound() {
		return (double) this.found / total();
	}

	@Override
	public String toString() {
		return "resumed=%d found=%d unknown=%d ambiguous=%d wrong=%d share=%.3f".formatted(total(), this.found,
				this.unknown, this.ambiguous, this.wrong, shareFound());
	}

}
