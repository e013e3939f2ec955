package org.sardineport.bench.configuration;

import java.util.SplittableRandom;

/**
 * Generates profile documents of a given size.
 */
final class ProfileTexts {

	private static final long SEED = 1;

	private static final int HASH_DIGITS = 64;

	private final int organisations;

	private ProfileTexts(int organisations) {
		this.organisations = organisations;
	}

	/**
	 * Returns a generator of profiles with as many organisations as a current deployment
	 * has.
	 * @return the generator
	 */
	static ProfileTexts small() {
		return new ProfileTexts(5);
	}

	static ProfileTexts withOrganisations(int count) {
		return new ProfileTexts(count);
	}

	/**
	 * Generates the YAML text of a profile.
	 * @param name name of the profile
	 * @param revision number that distinguishes versions of the same profile
	 * @return the text
	 */
	String text(String name, int revision) {
		StringBuilder text = new StringBuilder("name: ").append(name).append("\nroutes:\n");
		route(text, "/v1/explanations", "urgent", 5 + revision % 20);
		route(text, "/v1/summaries", "interactive", 20);
		route(text, "/v1/senses", "standard", 60);
		route(text, "/v1/reports", "batch", 1800);
		text.append("organisations:\n");
		SplittableRandom random = new SplittableRandom(SEED + name.hashCode());
		for (int i = 0; i < this.organisations; i++) {
			text.append("  - {name: organisation-")
				.append(i)
				.append(", tokensPerSecond: ")
				.append(1000 + i)
				.append(", tokenHashes: [")
				.append(hash(random))
				.append("]}\n");
		}
		return text.toString();
	}

	private static void route(StringBuilder text, String path, String tier, int seconds) {
		text.append("  - {method: POST, path: ")
			.append(path)
			.append(", pool: model, tier: ")
			.append(tier)
			.append(", deadline: ")
			.append(seconds)
			.append("s, answerTokens: 400}\n");
	}

	private static String hash(SplittableRandom random) {
		StringBuilder hash = new StringBuilder();
		for (int i = 0; i < HASH_DIGITS; i++) {
			hash.append(Character.forDigit(random.nextInt(16), 16));
		}
		return hash.toString();
	}

}
