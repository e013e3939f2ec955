package org.sardineport.daemon.relay;

import java.lang.reflect.Proxy;
import java.time.InstantSource;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.ListRead;
import org.sardineport.core.fleet.ListReads;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.relay.BackendPaths;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.wire.transport.PeerIdentity;
import org.sardineport.wire.transport.PeerTokens;

/**
 * Connections of a daemon that is alone in its fleet, and the backend servers that they
 * lead to.
 */
final class TestConnections {

	private TestConnections() {
	}

	static BackendConnections create(Vertx vertx, InstantSource clock) {
		FleetView fleet = constant(FleetView.class, new FleetSnapshot(DaemonId.of("daemon"), List.of(), List.of()));
		return create(vertx, clock, fleet, constant(ListReads.class, ListRead.NONE));
	}

	static BackendConnections create(Vertx vertx, InstantSource clock, FleetView fleet, ListReads reads) {
		NetworkAddress peers = NetworkAddress.of("127.0.0.1", 9);
		PeerIdentity identity = new PeerIdentity("fleet", DaemonId.of("daemon"), 1, peers, List.of("k".repeat(32)));
		BackendConnector connector = BackendConnector.create(vertx, clock, fleet,
				BackendPaths.create(new SplittableRandom(1)), PeerTokens.create(identity, clock), Telemetry.create());
		return BackendConnections.create(vertx, clock, connector, fleet, reads);
	}

	static BackendServer server(String id, NetworkAddress address) {
		return new BackendServer(BackendServerId.of(id), BackendKind.MODEL_ENGINE, PoolName.of("pool"),
				FailureDomain.of("zone"), address, 1);
	}

	/**
	 * Returns an implementation whose methods all return the same.
	 * @param type the interface
	 * @param result what each method returns
	 * @return the implementation
	 */
	static <T> T constant(Class<T> type, Object result) {
		return answering(type, (method) -> result);
	}

	/**
	 * Returns an implementation whose methods return what a function does.
	 * @param type the interface
	 * @param results returns the result for the name of a method
	 * @return the implementation
	 */
	static <T> T answering(Class<T> type, Function<String, @Nullable Object> results) {
		return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] { type },
				(proxy, method, arguments) -> results.apply(method.getName())));
	}

}
