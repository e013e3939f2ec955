package org.sardineport.core.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a backend server with short runs that idles while requests wait, as
 * permits count as places of it while their messages are on their way.
 */
class TravellingPermitsTests {

	private static final int SLOTS = 6;

	private static final Duration LATENCY = Duration.ofMillis(15);

	private static final Duration LATE = Duration.ofMillis(75);

	private static final Duration RUN = Duration.ofMillis(15);

	private static final Duration TIME_LIMIT = Duration.ofMillis(1000);

	private static final int SECONDS = 10;

	private final SplittableRandom random = new SplittableRandom(7);

	private final SchedulingFixture fleet = SchedulingFixture.twoDaemons(SLOTS);

	private DelayedMessages messages = new DelayedMessages(this.fleet, LATENCY, (delivered) -> {
	});

	private final List<SchedulingFixture.Caller> waiting = new ArrayList<>();

	private final List<SchedulingFixture.Caller> callers = new ArrayList<>();

	private final PriorityQueue<Instant> runEnds = new PriorityQueue<>();

	private final Queue<SchedulingFixture.Caller> running = new ArrayDeque<>();

	private final Queue<SchedulingFixture.Caller> finished = new ArrayDeque<>();

	private final Queue<Instant> finishedAt = new ArrayDeque<>();

	private Duration entryDelay = Duration.ZERO;

	private int mostRunning;

	private void simulate(double requestsPerSecond) {
		this.fleet.now = this.fleet.now.plusSeconds(2);
		for (int millis = 0; millis < SECONDS * 1000; millis++) {
			this.fleet.now = this.fleet.now.plusMillis(1);
			this.messages.deliverDue();
			endRuns();
			if (this.random.nextDouble() < requestsPerSecond / 1000) {
				submit();
			}
			if (millis % 25 == 0) {
				this.fleet.schedulers.values().forEach(Scheduler::tick);
			}
			startGranted();
		}
	}

	private void submit() {
		SchedulingRequest request = this.fleet.request(Tier.STANDARD, RunningPolicy.UNINTERRUPTIBLE, TIME_LIMIT,
				"organisation", 0, TokenEstimate.NONE);
		SchedulingFixture.Caller caller = this.fleet.submit("a", request);
		this.callers.add(caller);
		this.waiting.add(caller);
	}

	private void startGranted() {
		this.waiting.removeIf((caller) -> {
			if (caller.isGranted()) {
				this.running.add(caller);
				this.runEnds.add(this.fleet.now.plus(RUN));
				this.mostRunning = Math.max(this.mostRunning, this.running.size());
			}
			return !caller.isWaiting();
		});
	}

	private void endRuns() {
		while (!this.runEnds.isEmpty() && !this.runEnds.peek().isAfter(this.fleet.now)) {
			this.runEnds.remove();
			this.finished.add(this.running.remove());
			this.finishedAt.add(this.fleet.now);
		}
		while (!this.finished.isEmpty() && !this.finishedAt.peek().plus(this.entryDelay).isAfter(this.fleet.now)) {
			this.finishedAt.remove();
			this.finished.remove().complete(RUN.plus(this.entryDelay), this.running.size());
		}
	}

	// SHORT: at less than half of what the backend server bears, requests were refused
	// "for want of room".
	@Test
	void requestsAreNotRefusedAtHalfOfWhatTheServerBears() {
		simulate(0.5 * SLOTS * 1000 / RUN.toMillis());
		long refused = this.callers.stream().filter(SchedulingFixture.Caller::isRefused).count();
		assertThat((double) refused / this.callers.size()).isLessThan(0.01);
	}

	// SHORT: an owner that reads messages late got a few places of an idle backend server
	// used, however many requests waited.
	@Test
	void requestsAreNotRefusedAtHalfOfWhatTheServerBearsIfTheOwnerReadsLate() {
		this.messages = new DelayedMessages(this.fleet, LATE, (delivered) -> {
		});
		simulate(0.5 * SLOTS * 1000 / RUN.toMillis());
		long refused = this.callers.stream().filter(SchedulingFixture.Caller::isRefused).count();
		assertThat((double) refused / this.callers.size()).isLessThan(0.01);
		assertThat(this.mostRunning).isLessThanOrEqualTo(2 * SLOTS);
	}

	// SHORT: runs seem longer than they are to entries that read responses late, so that
	// their owners let a server idle whose requests wait.
	@Test
	void requestsAreNotRefusedAtHalfOfWhatTheServerBearsIfEntriesReadLate() {
		this.entryDelay = LATE;
		simulate(0.5 * SLOTS * 1000 / RUN.toMillis());
		long refused = this.callers.stream().filter(SchedulingFixture.Caller::isRefused).count();
		assertThat((double) refused / this.callers.size()).isLessThan(0.01);
		assertThat(this.mostRunning).isLessThanOrEqualTo(2 * SLOTS);
	}

	@Test
	void noMoreThanTwiceTheSlotsRunAtOnce() {
		simulate(3.0 * SLOTS * 1000 / RUN.toMillis());
		assertThat(this.mostRunning).isLessThanOrEqualTo(2 * SLOTS);
	}

}
