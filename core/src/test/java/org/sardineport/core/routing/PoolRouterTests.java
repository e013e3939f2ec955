package org.sardineport.core.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the choice among backend servers of several software versions, in small pools
 * and in those that are sampled.
 */
class PoolRouterTests {

	private static final SoftwareVersion V1 = SoftwareVersion.of("v1");

	private static final SoftwareVersion V2 = SoftwareVersion.of("v2");

	private static final int SLOTS = 4;

	private static final int CHOICES = 500;

	private static final long DEADLINE_MILLIS = 60_000;

	private final List<ServerView> views = new ArrayList<>();

	// The tail of a stream of v1 would come from a server of v2.
	@ParameterizedTest
	@ValueSource(ints = { 2, 16, 17, 60, 300 })
	void neverChoosesAnotherVersion(int poolSize) {
		add(poolSize - 1, V2);
		add(1, V1);
		PoolRouter router = router(this.views.subList(0, 1));
		for (int i = 0; i < CHOICES; i++) {
			assertThat(choose(router, V1, i)).isSameAs(this.views.get(poolSize - 1));
		}
	}

	// A request would be sent to a server that can't run it rather than refused.
	@ParameterizedTest
	@ValueSource(ints = { 3, 60 })
	void choosesNoneIfTheVersionIsNotListed(int poolSize) {
		add(poolSize, V2);
		assertThat(choose(router(this.views), V1, 0)).isNull();
	}

	// A probe of a failed server is no reason to change the version of a stream.
	@Test
	void isolatedServerOfAnotherVersionIsNotProbed() {
		add(1, V2);
		add(1, V1);
		this.views.get(0).update(state(0, 0, true), 0);
		assertThat(choose(router(List.of()), V1, 0)).isSameAs(this.views.get(1));
		assertThat(choose(router(List.of()), null, 0)).isSameAs(this.views.get(0));
	}

	// Streams of a version with few servers would queue before a full one while another
	// has room, as a sample rarely has both.
	@Test
	void findsTheOneWithRoomAmongFewServersOfTheVersion() {
		add(58, V2);
		add(2, V1);
		ServerView full = this.views.get(58);
		full.update(state(SLOTS, 3, false), 0);
		PoolRouter router = router(List.of());
		for (int i = 0; i < CHOICES; i++) {
			assertThat(choose(router, V1, i)).isSameAs(this.views.get(59));
		}
	}

	// The daemon's own servers come first, also if the first of them have another
	// version.
	@Test
	void ownServersOfTheVersionAreFoundBehindOthers() {
		add(20, V2);
		add(20, V1);
		List<ServerView> owned = new ArrayList<>(this.views.subList(0, 10));
		owned.add(this.views.get(30));
		PoolRouter router = router(owned);
		for (int i = 0; i < CHOICES; i++) {
			assertThat(choose(router, V1, 0)).isSameAs(this.views.get(30));
		}
	}

	// Where nearly all servers are excluded, a full one would be taken unseen while
	// another has room.
	@Test
	void comparesSeveralAllowedServersIfTheSampleHasNone() {
		add(60, V1);
		Set<ServerView> allowed = new HashSet<>(List.of(this.views.get(7), this.views.get(8), this.views.get(40)));
		this.views.get(7).update(state(SLOTS, 3, false), 0);
		this.views.get(40).update(state(SLOTS, 3, false), 0);
		int full = 0;
		PoolRouter router = router(List.of());
		for (int i = 0; i < CHOICES; i++) {
			ServerView chosen = router.choose(request(null, 0), allowed::contains, 0);
			full += (chosen == this.views.get(8)) ? 0 : 1;
		}
		// A sample of four of 60 that holds one of the full servers and not the other.
		assertThat(full).isLessThan(CHOICES / 5);
	}

	private void add(int count, SoftwareVersion version) {
		for (int i = 0; i < count; i++) {
			BackendServer server = new BackendServer(BackendServerId.of("s" + this.views.size()),
					BackendKind.MODEL_ENGINE, PoolName.of("model"), FailureDomain.of("bole"),
					NetworkAddress.of("127.0.0.1", 9), SLOTS);
			ServerView view = ServerView.of(server.withSoftwareVersion(version));
			view.update(state(0, 0, false), 0);
			this.views.add(view);
		}
	}

	private ServerState state(int running, int waiting, boolean isolated) {
		return new ServerState(BackendServerId.of("s"), running, waiting, SLOTS, false, isolated, isolated, 0, 100,
				Speed.UNKNOWN);
	}

	private PoolRouter router(List<ServerView> owned) {
		return PoolRouter.of(this.views, owned, new SplittableRandom(7));
	}

	private static @Nullable ServerView choose(PoolRouter router, @Nullable SoftwareVersion version, long prefixHash) {
		return router.choose(request(version, prefixHash), (view) -> true, 0);
	}

	private static RoutingRequest request(@Nullable SoftwareVersion version, long prefixHash) {
		return new RoutingRequest(TokenEstimate.of(100, 100), false, true, prefixHash, DEADLINE_MILLIS, false, version);
	}

}
