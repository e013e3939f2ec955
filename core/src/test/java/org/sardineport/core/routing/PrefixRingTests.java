package org.sardineport.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an uneven distribution of prefixes, and against a change of the pool
 * that moves prefixes of the remaining backend servers.
 */
class PrefixRingTests {

	private static final int PREFIXES = 10_000;

	private static List<BackendServer> servers(int count) {
		List<BackendServer> servers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			servers.add(new BackendServer(BackendServerId.of("s" + i), BackendKind.MODEL_ENGINE, PoolName.of("model"),
					FailureDomain.of("bole"), NetworkAddress.of("127.0.0.1", 1), 4));
		}
		return servers;
	}

	@Test
	void spreadsPrefixesOverAllServers() {
		PrefixRing ring = PrefixRing.of(servers(10));
		int[] counts = new int[10];
		for (int i = 0; i < PREFIXES; i++) {
			counts[ring.home(i)]++;
		}
		assertThat(Arrays.stream(counts).boxed()).allMatch((count) -> count > PREFIXES / 30 && count < PREFIXES / 3);
	}

	@Test
	void removingAServerMovesOnlyItsPrefixes() {
		List<BackendServer> ten = servers(10);
		PrefixRing before = PrefixRing.of(ten);
		PrefixRing after = PrefixRing.of(ten.subList(0, 9));
		for (int i = 0; i < PREFIXES; i++) {
			if (before.home(i) != 9) {
				assertThat(after.home(i)).isEqualTo(before.home(i));
			}
		}
	}

	@Test
	void hasNoHomeInAnEmptyPool() {
		assertThat(PrefixRing.of(List.of()).home(5)).isEqualTo(-1);
	}

}
