package org.sardineport.bench.fleet;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;

import org.sardineport.bench.HeapUsage;
import org.sardineport.core.membership.MembershipMessage;
import org.sardineport.core.membership.MembershipTiming;
import org.sardineport.standins.fleet.VirtualFleet;
import org.sardineport.standins.peer.NetworkConditions;

/**
 * Cost of the membership protocol without I/O for one daemon of a fleet without changes,
 * in virtual time.
 *
 * @param bytesPerSecond bytes sent per second, including headers of UDP and IP
 * @param largestFrame size of the largest message, in bytes
 * @param coreShare CPU time of the protocol logic, as a share of one core
 * @param memoryBytes memory of the daemon's state, in bytes
 */
record VirtualCost(double bytesPerSecond, int largestFrame, double coreShare, double memoryBytes) {

	/** Garbage collections before each reading of the heap. */
	private static final int COLLECTIONS = 1;

	private static final Duration SETTLING = Duration.ofSeconds(5);

	private static final long SEED = 1;

	static VirtualCost measure(int members, List<String> domains, MembershipTiming timing, NetworkConditions network,
			Duration measured) {
		long heapBefore = HeapUsage.usedBytes(COLLECTIONS);
		VirtualFleet fleet = VirtualFleet.create(members, domains, timing, network, SEED);
		fleet.introduceAll();
		fleet.run(SETTLING);
		double memory = (HeapUsage.usedBytes(COLLECTIONS) - heapBefore) / (double) members;
		Sizes sizes = new Sizes();
		fleet.setSendListener(sizes::add);
		fleet.run(measured);
		double seconds = measured.toMillis() / 1000.0;
		fleet.setSendListener((message) -> {
		});
		long cpuBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
		fleet.run(measured);
		double cpuSeconds = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuBefore) / 1e9;
		return new VirtualCost(sizes.total / seconds / members, sizes.largest, cpuSeconds / seconds / members, memory);
	}

	/**
	 * Total and maximum of message sizes.
	 */
	private static final class Sizes {

		private final FrameSizes frames = new FrameSizes();

		private long total;

		private int largest;

		private void add(MembershipMessage message) {
			int bytes = this.frames.bytes(message);
			this.total += bytes;
			this.largest = Math.max(this.largest, bytes);
		}

	}

}
