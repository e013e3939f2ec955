package org.sardineport.cli.demo;

import java.time.Duration;

import org.sardineport.core.request.Tier;

/**
 * Kinds of requests of the demonstration, with the tiers and deadlines of their routes in
 * the demonstration's profile.
 */
enum WorkKind {

	LOOKUP("/v1/lookups", Tier.URGENT, Duration.ofSeconds(3), 20, 300, 24),
	EXPLANATION("/v1/explanations", Tier.INTERACTIVE, Duration.ofSeconds(8), 60, 1200, 4),
	POSTING("/postings", Tier.STANDARD, Duration.ofSeconds(10), 0, 0, 8),
	DRAFT("/v1/drafts", Tier.BATCH, Duration.ofSeconds(40), 400, 6000, 1);

	private final String path;

	private final Tier tier;

	private final Duration deadline;

	private final int answerTokens;

	private final int promptBytes;

	private final int perSecond;

	WorkKind(String path, Tier tier, Duration deadline, int answerTokens, int promptBytes, int perSecond) {
		this.path = path;
		this.tier = tier;
		this.deadline = deadline;
		this.answerTokens = answerTokens;
		this.promptBytes = promptBytes;
		this.perSecond = perSecond;
	}

	String path() {
		return this.path;
	}

	Tier tier() {
		return this.tier;
	}

	Duration deadline() {
		return this.deadline;
	}

	int answerTokens() {
		return this.answerTokens;
	}

	int promptBytes() {
		return this.promptBytes;
	}

	int perSecond() {
		return this.perSecond;
	}

	boolean isKeyed() {
		return this == POSTING || this == DRAFT;
	}

	boolean isGenerated() {
		return this != POSTING;
	}

}
