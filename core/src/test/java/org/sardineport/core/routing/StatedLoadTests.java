package org.sardineport.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.capacity.StatedLoad;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the use of a stated load that is too old: the time that work takes on
 * each of four servers changes some times a second, at random.
 */
class StatedLoadTests {

	private static final int SERVERS = 4;

	private static final int SLOTS = 16;

	private static final long MILLIS = 200_000;

	/** Mean time between two changes of the work on a server. */
	private static final int CHANGE_MILLIS = 250;

	private static final int REQUEST_MILLIS = 20;

	private static final RoutingRequest REQUEST = new RoutingRequest(TokenEstimate.of(0, 0), false, false, 0, 60_000);

	private final SplittableRandom random = new SplittableRandom(1);

	/**
	 * Returns the mean work of the chosen servers.
	 * @param age age of the stated loads, in milliseconds; negative if there are none
	 * @return the work in percent
	 */
	private double meanWork(long age) {
		List<ServerView> views = new ArrayList<>();
		List<Deque<Integer>> histories = new ArrayList<>();
		for (int i = 0; i < SERVERS; i++) {
			ServerView view = ServerView.of(new BackendServer(BackendServerId.of("s" + i), BackendKind.PLAIN_SERVICE,
					PoolName.of("p"), FailureDomain.of("z"), NetworkAddress.of("127.0.0.1", 9), SLOTS));
			views.add(view);
			histories.add(new ArrayDeque<>(List.of(StatedLoad.USUAL_WORK_PERCENT)));
		}
		PoolRouter router = PoolRouter.of(views, List.of(), this.random);
		double sum = 0;
		int requests = 0;
		for (long now = 1; now < MILLIS; now++) {
			for (int i = 0; i < SERVERS; i++) {
				advance(histories.get(i), views.get(i), age, now);
			}
			if (now % REQUEST_MILLIS == 0) {
				// Without a difference the first server is chosen.
				ServerView chosen = Objects.requireNonNull(router.choose(REQUEST, (view) -> true, now));
				sum += histories.get(views.indexOf(chosen)).getLast();
				requests++;
			}
		}
		return sum / requests;
	}

	private void advance(Deque<Integer> history, ServerView view, long age, long now) {
		boolean changes = this.random.nextInt(CHANGE_MILLIS) == 0;
		history.addLast((changes) ? 50 + this.random.nextInt(200) : history.getLast());
		if (age < 0) {
			return;
		}
		while (history.size() > age + 1) {
			history.removeFirst();
		}
		view.update(new ServerState(view.server().id(), 0, 0, SLOTS, false, false, false, 0, 100, Speed.UNKNOWN), now);
		if (now > age) {
			view.recordStatedLoad(new StatedLoad(0, 0, SLOTS, history.getFirst()), now - age);
		}
	}

	// Measured: 91, 102, 111, 124 and 132 percent.
	@ParameterizedTest
	@CsvSource({ "0, 95", "50, 110", "100, 120", "200, 135", "290, 147" })
	void isWorthLessTheOlderItIs(long age, double bound) {
		assertThat(meanWork(age)).isLessThan(bound);
	}

	@Test
	void meanWorkWithoutStatedLoadsIsThatOfAllServers() {
		assertThat(meanWork(-1)).isBetween(140.0, 160.0);
	}

	@Test
	void isWorthNothingAfterItsTime() {
		ServerView view = ServerView.of(new BackendServer(BackendServerId.of("s"), BackendKind.PLAIN_SERVICE,
				PoolName.of("p"), FailureDomain.of("z"), NetworkAddress.of("127.0.0.1", 9), SLOTS));
		view.update(new ServerState(view.server().id(), 0, 0, SLOTS, false, false, false, 0, 100, Speed.UNKNOWN), 0);
		view.recordStatedLoad(new StatedLoad(0, 0, SLOTS, 300), 0);
		assertThat(view.finishMillis(REQUEST, 0, 0)).isEqualTo(300);
		assertThat(view.finishMillis(REQUEST, 0, 150)).isEqualTo(200);
		assertThat(view.finishMillis(REQUEST, 0, 300)).isEqualTo(100);
	}

}
