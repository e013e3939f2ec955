package org.sardineport.daemon.telemetry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Standard output that never blocks who logs: lines wait in a bounded queue for a thread
 * of its own. When the queue is nearly full ordinary lines are left out and counted, so
 * that there is room for warnings and errors. Safe for use by any thread.
 */
public final class BoundedOutput extends PrintStream {

	/** Lines that may wait. */
	private static final int CAPACITY = 8192;

	/** Places kept for warnings and errors. */
	private static final int RESERVED = 1024;

	/** Time between two writes. */
	private static final Duration INTERVAL = Duration.ofMillis(50);

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);

	private final AtomicLong leftOut = new AtomicLong();

	private final OutputStream target;

	private BoundedOutput(OutputStream target) {
		super(target, false, StandardCharsets.UTF_8);
		this.target = Objects.requireNonNull(target, "target must not be null");
	}

	/**
	 * Returns an output whose lines wait until they are written with {@link #write()}.
	 * @param target where they are written
	 * @return the output
	 */
	static BoundedOutput to(OutputStream target) {
		return new BoundedOutput(target);
	}

	/**
	 * Takes the place of {@link System#out} and starts the writing thread. Called before
	 * the first logger is made.
	 */
	public static void install() {
		BoundedOutput output = to(new FileOutputStream(FileDescriptor.out));
		Thread writer = new Thread(output::writeForever, "log-writer");
		writer.setDaemon(true);
		writer.start();
		Runtime.getRuntime().addShutdownHook(new Thread(output::write, "log-flush"));
		System.setOut(output);
	}

	/**
	 * Writes what waits in the output that was installed, if any.
	 */
	public static void flushInstalled() {
		if (System.out instanceof BoundedOutput output) {
			output.write();
		}
	}

	@Override
	public void println(String line) {
		boolean ordinary = line == null || !(line.contains(" WARN ") || line.contains(" ERROR "));
		boolean room = !ordinary || this.lines.remainingCapacity() > RESERVED;
		if (!room || !this.lines.offer(String.valueOf(line))) {
			this.leftOut.incrementAndGet();
		}
	}

	private void writeForever() {
		while (!Thread.currentThread().isInterrupted()) {
			write();
			LockSupport.parkNanos(INTERVAL.toNanos());
		}
	}

	/**
	 * Writes all lines that wait. May block; called by the writing thread and at the end.
	 */
	synchronized void write() {
		List<String> waiting = new ArrayList<>();
		this.lines.drainTo(waiting);
		long missing = this.leftOut.getAndSet(0);
		if (missing > 0) {
			waiting.add("event=log.left-out lines=" + missing);
		}
		if (waiting.isEmpty()) {
			return;
		}
		try {
			this.target.write((String.join("\n", waiting) + "\n").getBytes(StandardCharsets.UTF_8));
			this.target.flush();
		}
		catch (IOException ex) {
			// Nobody reads the output any more, so that there is nowhere to say so.
			this.leftOut.addAndGet(waiting.size());
		}
	}

}
