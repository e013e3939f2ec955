package org.sardineport.cli.demo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.UUID;

/**
 * Plans the requests of the demonstration: arrivals at random times, a burst of long
 * drafts halfway, and duplicates of some postings with the same idempotency key.
 */
final class WorkPlan {

	private static final List<String> ORGANISATIONS = List.of("schools", "courts", "translators");

	private static final int BURST_DRAFTS = 30;

	private static final int DUPLICATE_PERCENT = 20;

	private static final long MILLIS_PER_SECOND = 1000;

	private static final int TIMESTAMP_SHIFT_BITS = 16;

	private static final long VERSION_7 = 0x7000;

	private static final long RANDOM_MASK = 0x0fff;

	private static final long VARIANT_MASK = 0x3fffffffffffffffL;

	private static final long VARIANT = 0x8000000000000000L;

	private final SplittableRandom random;

	private final Instant start;

	private final Duration length;

	private final List<WorkItem> items = new ArrayList<>();

	private WorkPlan(long seed, Instant start, Duration length) {
		this.random = new SplittableRandom(seed);
		this.start = start;
		this.length = length;
	}

	static List<WorkItem> create(long seed, Instant start, Duration length) {
		WorkPlan plan = new WorkPlan(seed, start, length);
		for (WorkKind kind : WorkKind.values()) {
			plan.addArrivals(kind);
		}
		plan.addBurst();
		plan.items.sort(Comparator.comparing(WorkItem::at));
		return List.copyOf(plan.items);
	}

	private void addArrivals(WorkKind kind) {
		long count = kind.perSecond() * this.length.toSeconds();
		for (int i = 0; i < count; i++) {
			add(kind, this.random.nextLong(this.length.toMillis()));
		}
	}

	private void addBurst() {
		long middle = this.length.toMillis() / 2;
		for (int i = 0; i < BURST_DRAFTS; i++) {
			add(WorkKind.DRAFT, middle + this.random.nextLong(MILLIS_PER_SECOND));
		}
	}

	private void add(WorkKind kind, long millis) {
		String tag = kind.name().toLowerCase(Locale.ROOT) + this.items.size() + "x";
		Duration at = Duration.ofMillis(millis);
		String key = (kind.isKeyed()) ? key(this.start.plus(at)) : "";
		String organisation = ORGANISATIONS.get(this.random.nextInt(ORGANISATIONS.size()));
		WorkItem item = new WorkItem(kind, tag, key, body(kind, tag), organisation, at);
		this.items.add(item);
		if (kind == WorkKind.POSTING && this.random.nextInt(100) < DUPLICATE_PERCENT) {
			Duration again = at.plusMillis(this.random.nextLong(MILLIS_PER_SECOND));
			this.items.add(new WorkItem(kind, tag, key, item.body(), organisation, again));
		}
	}

	private String body(WorkKind kind, String tag) {
		if (!kind.isGenerated()) {
			return "{\"posting\":\"%s\",\"amount\":%d}".formatted(tag, this.random.nextInt(1, 1000));
		}
		int entry = this.random.nextInt(8);
		String shared = "Instructions for entry %d of the dictionary. ".formatted(entry).repeat(200);
		String prompt = shared.substring(0, kind.promptBytes());
		return "{\"stream\":true,\"user\":\"%s\",\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}"
			.formatted(tag, kind.answerTokens(), prompt);
	}

	private String key(Instant issued) {
		long high = (issued.toEpochMilli() << TIMESTAMP_SHIFT_BITS) | VERSION_7
				| (this.random.nextLong() & RANDOM_MASK);
		long low = (this.random.nextLong() & VARIANT_MASK) | VARIANT;
		return new UUID(high, low).toString();
	}

}
