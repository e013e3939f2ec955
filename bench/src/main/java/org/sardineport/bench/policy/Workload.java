package org.sardineport.bench.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.TokenEstimate;

/**
 * Generates the requests of one simulation run as a Poisson process. Depends only on the
 * site, the load case and the seed, so that all policies get the same requests.
 */
final class Workload {

	/** Share of each organisation in the requests. */
	private static final double[] ORGANISATION_SHARES = { 0.4, 0.3, 0.15, 0.1, 0.05 };

	/** Number of prompt prefixes that each organisation uses in a class of requests. */
	private static final int PREFIXES_PER_ORGANISATION = 8;

	/** Smallest ratio of the estimated to the true length of a response. */
	private static final double MINIMUM_ESTIMATE_RATIO = 0.7;

	/** Greatest ratio of the estimated to the true length of a response. */
	private static final double MAXIMUM_ESTIMATE_RATIO = 1.4;

	private final Site site;

	private final LoadCase loadCase;

	private final SplittableRandom random;

	private final List<Arrival> arrivals = new ArrayList<>();

	private Workload(Site site, LoadCase loadCase, long seed) {
		this.site = site;
		this.loadCase = loadCase;
		this.random = new SplittableRandom(seed);
	}

	static List<Arrival> of(Site site, LoadCase loadCase, long seed) {
		Workload workload = new Workload(site, loadCase, seed);
		workload.addArrivals(Site.MODEL, workload.modelCapacity());
		workload.addArrivals(Site.SERVICE, workload.serviceCapacity());
		return workload.arrivals;
	}

	private double modelCapacity() {
		double prompt = 0;
		double answer = 0;
		for (RequestClass each : classes(Site.MODEL)) {
			prompt += each.share() * each.meanPrompt();
			answer += each.share() * each.meanAnswer();
		}
		double capacity = 0;
		for (int i = 0; i < this.site.engines(); i++) {
			capacity += EngineSpeed.of(i).capacity(prompt, answer);
		}
		return capacity;
	}

	private double serviceCapacity() {
		double meanMillis = RequestClass.mean(RequestClass.MINIMUM_CALL_MILLIS, RequestClass.MAXIMUM_CALL_MILLIS);
		return this.site.services() * Site.SERVICE_CONCURRENCY * 1000 / meanMillis;
	}

	private static List<RequestClass> classes(PoolName pool) {
		return Arrays.stream(RequestClass.values()).filter((each) -> each.pool().equals(pool)).toList();
	}

	private void addArrivals(PoolName pool, double capacity) {
		List<RequestClass> classes = classes(pool);
		double at = 0;
		while (at < LoadCase.DURATION_MILLIS) {
			double ratePerMilli = capacity * this.loadCase.load(at) / 1000;
			at += -Math.log(1 - this.random.nextDouble()) / ratePerMilli;
			this.arrivals.add(arrival(at, randomClass(classes)));
		}
	}

	private RequestClass randomClass(List<RequestClass> classes) {
		return classes.get(randomIndex(classes.stream().mapToDouble(RequestClass::share).toArray()));
	}

	private int randomIndex(double[] shares) {
		double left = this.random.nextDouble();
		for (int i = 0; i < shares.length; i++) {
			left -= shares[i];
			if (left < 0) {
				return i;
			}
		}
		return shares.length - 1;
	}

	private Arrival arrival(double at, RequestClass kind) {
		int number = this.arrivals.size();
		int organisation = randomIndex(ORGANISATION_SHARES);
		int prompt = kind.prompt(this.random);
		int answer = kind.answer(this.random);
		double ratio = MINIMUM_ESTIMATE_RATIO
				+ this.random.nextDouble() * (MAXIMUM_ESTIMATE_RATIO - MINIMUM_ESTIMATE_RATIO);
		long prefix = (prompt == 0) ? 0 : 1 + kind.ordinal()
				+ 16L * (organisation * PREFIXES_PER_ORGANISATION + this.random.nextInt(PREFIXES_PER_ORGANISATION));
		Instant arrival = VirtualTimeline.at(at);
		SchedulingRequest request = new SchedulingRequest(RequestId.of("r" + number), kind.pool(),
				OrganisationId.of("organisation-" + organisation), kind.tier(),
				TokenEstimate.of(prompt, (int) (answer * ratio)), prefix, Fingerprint.of(number, 0), kind.policy(), 0,
				arrival, arrival.plus(kind.deadline()));
		int entry = this.random.nextInt(Site.DAEMONS);
		double call = RequestClass.randomBetween(RequestClass.MINIMUM_CALL_MILLIS, RequestClass.MAXIMUM_CALL_MILLIS,
				this.random);
		return new Arrival(at, kind, request, entry, answer, call);
	}

	/**
	 * Arrival of one request.
	 *
	 * @param at virtual time in milliseconds
	 * @param kind class of the request
	 * @param request the request, with the estimated length of its response
	 * @param entry number of the daemon that accepts it
	 * @param answerTokens true length of its response, in tokens
	 * @param callMillis duration of its call, for plain services
	 */
	record Arrival(double at, RequestClass kind, SchedulingRequest request, int entry, int answerTokens,
			double callMillis) {

		Job job() {
			double deadline = this.at + Duration.between(this.request.arrival(), this.request.deadline()).toMillis();
			return new Job(this.kind, this.request, this.entry, deadline, this.answerTokens, this.callMillis);
		}

	}

}
