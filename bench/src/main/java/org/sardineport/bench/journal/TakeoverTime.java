package org.sardineport.bench.journal;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.journal.AcceptDecision;
import org.sardineport.core.journal.DispatchedRun;
import org.sardineport.core.journal.DurableRunner;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.settings.MembershipSettings;

/**
 * Time from a daemon's death to the moment at which another holds its durable request.
 * The time until its silence is noticed is not measured but taken from the settings: two
 * probe intervals and two timeouts, for a direct and an indirect probe.
 */
final class TakeoverTime {

	private static final int FAILED_DAEMON = 0;

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private TakeoverTime() {
	}

	static Duration detectionTime() {
		MembershipSettings membership = MembershipSettings.defaults();
		return membership.probeInterval().plus(membership.probeTimeout()).multipliedBy(2);
	}

	// From the moment at which its silence is noticed.
	static Duration measure(JournalFleet fleet, int daemons, int round) throws Exception {
		CompletableFuture<Void> takenOver = new CompletableFuture<>();
		for (int number = 1; number < daemons; number++) {
			fleet.journal(number).runner(new TakeoverDetector(takenOver));
		}
		fleet.fleet().set(DaemonId.of("d" + FAILED_DAEMON), MemberStatus.ALIVE);
		AcceptDecision decision = fleet.journal(FAILED_DAEMON)
			.accept(KeyedLoad.request("takeover-" + round, true))
			.toCompletableFuture()
			.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		if (!(decision instanceof AcceptDecision.Accepted)) {
			throw new IllegalStateException("the request was not accepted: " + decision);
		}
		long start = System.nanoTime();
		fleet.fleet().set(DaemonId.of("d" + FAILED_DAEMON), MemberStatus.SUSPECT);
		takenOver.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		return Duration.ofNanos(System.nanoTime() - start);
	}

	/**
	 * Notes that a request was taken over.
	 *
	 * @param takenOver completes then
	 */
	private record TakeoverDetector(CompletableFuture<Void> takenOver) implements DurableRunner {

		@Override
		public void run(KeyedRequest request, JournalClaim claim) {
			this.takenOver.complete(null);
		}

		@Override
		public void resume(DispatchedRun run) {
			throw new IllegalStateException("nothing was dispatched");
		}

	}

}
