package org.sardineport.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.sardineport.settings.DaemonSettings;

/**
 * A daemon that runs in a separate process, started through {@link Main}.
 */
final class DaemonProcess implements AutoCloseable {

	private final DaemonSettings settings;

	private final Process process;

	private DaemonProcess(DaemonSettings settings, Process process) {
		this.settings = settings;
		this.process = process;
	}

	static DaemonProcess start(DaemonSettings settings, Path directory) throws IOException {
		Path file = directory.resolve(settings.daemon() + ".yaml");
		Files.writeString(file, yaml(settings));
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Xmx256m", "-cp", System.getProperty("java.class.path"), Main.class.getName(), "--settings",
				file.toString())
			.redirectErrorStream(true)
			.redirectOutput(directory.resolve(settings.daemon() + ".log").toFile())
			.start();
		return new DaemonProcess(settings, process);
	}

	DaemonSettings settings() {
		return this.settings;
	}

	/** Sends SIGTERM. */
	void terminate() {
		this.process.destroy();
	}

	/** Sends SIGKILL and waits until the process has exited. */
	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	int exitStatus() throws InterruptedException {
		if (!this.process.waitFor(FleetFixture.TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
			throw new IllegalStateException("daemon process did not exit within " + FleetFixture.TIMEOUT);
		}
		return this.process.exitValue();
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
	}

	private static String yaml(DaemonSettings settings) {
		return """
				fleet: %s
				daemon: %s
				failureDomain: %s
				callerAddress: %s
				operatorAddress: %s
				peerAddress: %s
				seeds: %s
				peerKeys: %s
				operatorToken: %s
				platform:
				  logService: %s
				  vmList: %s
				  timeout: 2s
				callers:
				  keepTime: %dms
				stop:
				  linger: %dms
				""".formatted(settings.fleet(), settings.daemon(), settings.failureDomain(), settings.callerAddress(),
				settings.operatorAddress(), settings.peerAddress(), settings.seeds(), settings.peerKeys(),
				settings.operatorToken(), settings.platform().logService(), settings.platform().vmList(),
				settings.callers().keepTime().toMillis(), settings.stop().linger().toMillis());
	}

}
