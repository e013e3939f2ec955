package org.sardineport.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

/**
 * Backend servers, failure domains and network delays of the simulated sites.
 */
enum Site {

	/** Six model engines and three plain services. */
	BAGMATI(6, 3, 1.5, List.of("lalitpur", "baneshwor", "bhaktapur")),

	/** Thirteen model engines and three plain services. */
	LEXICA(13, 3, 0.5, List.of("bole", "kaliti", "piassa"));

	static final PoolName MODEL = PoolName.of("model");

	static final PoolName SERVICE = PoolName.of("service");

	static final NetworkAddress ADDRESS = NetworkAddress.of("127.0.0.1", 1);

	/** Greatest number of sequences in the batch of a fake engine. */
	static final int ENGINE_CONCURRENCY = 16;

	/** Greatest number of concurrent calls of a fake service. */
	static final int SERVICE_CONCURRENCY = 4;

	/** Number of daemons of each site. */
	static final int DAEMONS = 8;

	private static final double SAME_DOMAIN_MILLIS = 0.2;

	private final int engines;

	private final int services;

	private final double crossDomainMillis;

	private final List<String> failureDomains;

	Site(int engines, int services, double crossDomainMillis, List<String> failureDomains) {
		this.engines = engines;
		this.services = services;
		this.crossDomainMillis = crossDomainMillis;
		this.failureDomains = failureDomains;
	}

	FailureDomain failureDomain(int index) {
		return FailureDomain.of(this.failureDomains.get(index % this.failureDomains.size()));
	}

	/**
	 * Returns the network delay of a message.
	 * @param from failure domain of the sender
	 * @param to failure domain of the receiver
	 * @return milliseconds
	 */
	double delayMillis(FailureDomain from, FailureDomain to) {
		return (from.equals(to)) ? SAME_DOMAIN_MILLIS : this.crossDomainMillis;
	}

	List<BackendServer> servers() {
		List<BackendServer> servers = new ArrayList<>();
		for (int i = 0; i < this.engines; i++) {
			servers.add(new BackendServer(BackendServerId.of("engine-" + i), BackendKind.MODEL_ENGINE, MODEL,
					failureDomain(i), ADDRESS, ENGINE_CONCURRENCY));
		}
		for (int i = 0; i < this.services; i++) {
			servers.add(new BackendServer(BackendServerId.of("service-" + i), BackendKind.PLAIN_SERVICE, SERVICE,
					failureDomain(i), ADDRESS, SERVICE_CONCURRENCY));
		}
		return servers;
	}

	int engines() {
		return this.engines;
	}

	int services() {
		return this.services;
	}

}
