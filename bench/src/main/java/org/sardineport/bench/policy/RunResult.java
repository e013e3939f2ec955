package org.sardineport.bench.policy;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import org.sardineport.core.request.RefusalReason;

/**
 * Result of one simulation run, accumulated while it runs. Not thread-safe.
 */
final class RunResult {

	private final PolicyKind policy;

	private final Site site;

	private final LoadCase loadCase;

	private final long seed;

	private final Map<RequestClass, Integer> recordOffered = new EnumMap<>(RequestClass.class);

	private final Map<RequestClass, Integer> good = new EnumMap<>(RequestClass.class);

	private final Map<String, Integer> refusals = new TreeMap<>();

	private long goodTokens;

	private long promptTokens;

	private long cachedTokens;

	private long wastedPrefill;

	private int preemptions;

	private int messages;

	private int retries;

	private long checkedEvents;

	private long tierOrderViolations;

	private int shedBehindLower;

	private int topRefused;

	RunResult(PolicyKind policy, Site site, LoadCase loadCase, long seed) {
		this.policy = policy;
		this.site = site;
		this.loadCase = loadCase;
		this.seed = seed;
	}

	void recordOffered(Job job) {
		this.recordOffered.merge(job.kind(), 1, Integer::sum);
	}

	void good(Job job) {
		this.good.merge(job.kind(), 1, Integer::sum);
		this.goodTokens += job.answerTokens();
		this.promptTokens += job.request().estimate().prompt();
		this.cachedTokens += job.cachedTokens();
	}

	void timedOut(Job job) {
		this.refusals.merge(job.kind() + " timed out", 1, Integer::sum);
		wasted(job);
	}

	private void wasted(Job job) {
		this.wastedPrefill += job.prefilledTokens();
	}

	void preempted(Job job) {
		this.preemptions++;
		wasted(job);
	}

	void refused(Job job, RefusalReason reason, boolean behindLower) {
		this.refusals.merge(job.kind() + " " + reason, 1, Integer::sum);
		this.topRefused += (job.request().tier().isTop()) ? 1 : 0;
		this.shedBehindLower += (behindLower) ? 1 : 0;
	}

	void recordTierOrderCheck(boolean holds) {
		this.checkedEvents++;
		this.tierOrderViolations += (holds) ? 0 : 1;
	}

	void message() {
		this.messages++;
	}

	void retry() {
		this.retries++;
	}

	PolicyKind policy() {
		return this.policy;
	}

	Site site() {
		return this.site;
	}

	LoadCase loadCase() {
		return this.loadCase;
	}

	long seed() {
		return this.seed;
	}

	/**
	 * Returns the share of a class's requests that completed by their deadline.
	 * @param kind the class of requests
	 * @return from 0 to 1
	 */
	double goodput(RequestClass kind) {
		int all = this.recordOffered.getOrDefault(kind, 0);
		return (all == 0) ? 1 : (double) this.good.getOrDefault(kind, 0) / all;
	}

	long goodTokens() {
		return this.goodTokens;
	}

	/**
	 * Returns the share of the prompt tokens of completed requests that came from a
	 * prefix cache.
	 * @return from 0 to 1
	 */
	double cachedShare() {
		return (double) this.cachedTokens / Math.max(1, this.promptTokens);
	}

	long wastedPrefill() {
		return this.wastedPrefill;
	}

	int preemptions() {
		return this.preemptions;
	}

	int messages() {
		return this.messages;
	}

	int retries() {
		return this.retries;
	}

	int requests() {
		return this.recordOffered.values().stream().mapToInt(Integer::intValue).sum();
	}

	long checkedEvents() {
		return this.checkedEvents;
	}

	long tierOrderViolations() {
		return this.tierOrderViolations;
	}

	int shedBehindLower() {
		return this.shedBehindLower;
	}

	int topRefused() {
		return this.topRefused;
	}

	Map<String, Integer> refusals() {
		return this.refusals;
	}

}
