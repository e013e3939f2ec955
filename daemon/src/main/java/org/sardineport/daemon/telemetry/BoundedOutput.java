package org.sardineport.daemon.telemetry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.jspecify.annotations.Nullable;

/**
 * Writes events to standard output and never blocks who logs: lines wait in a bounded
 * queue for a thread of its own. When the queue is nearly full ordinary lines are left
 * out and counted, so that there is room for warnings and errors. Safe for use by any
 * thread.
 */
public final class BoundedOutput implements EventSink {

	/** Lines that may wait. */
	private static final int CAPACITY = 8192;

	/** Places kept for warnings and errors. */
	private static final int RESERVED = 1024;

	/** Time between two writes. */
	private static final Duration INTERVAL = Duration.ofMillis(50);

	/** Frames of a fault's stack that are told. */
	private static final int MOST_FRAMES = 12;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);

	private final AtomicLong leftOut = new AtomicLong();

	private final OutputStream target;

	private final InstantSource clock;

	private BoundedOutput(OutputStream target, InstantSource clock) {
		this.target = Objects.requireNonNull(target, "target must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Returns an output whose lines wait until they are written with {@link #write()}.
	 * @param target where they are written
	 * @param clock tells the time of day
	 * @return the output
	 */
	static BoundedOutput to(OutputStream target, InstantSource clock) {
		return new BoundedOutput(target, clock);
	}

	/**
	 * Sends all events to standard output, by a thread that it starts.
	 * @return the output
	 */
	public static BoundedOutput install() {
		BoundedOutput output = to(new FileOutputStream(FileDescriptor.out), InstantSource.system());
		EventLog.sendTo(output);
		Thread writer = new Thread(output::writeForever, "log-writer");
		writer.setDaemon(true);
		writer.start();
		Runtime.getRuntime().addShutdownHook(new Thread(output::write, "log-flush"));
		return output;
	}

	@Override
	public boolean isEnabled(Class<?> source, EventLevel level) {
		return level != EventLevel.DEBUG;
	}

	@Override
	public void write(Class<?> source, EventLevel level, String line, @Nullable Throwable cause) {
		boolean room = !level.isOrdinary() || this.lines.remainingCapacity() > RESERVED;
		if (!room || !this.lines.offer(complete(source, level, line, cause))) {
			this.leftOut.incrementAndGet();
		}
	}

	private String complete(Class<?> source, EventLevel level, String line, @Nullable Throwable cause) {
		StringBuilder out = new StringBuilder(line.length() + 64).append("time=");
		LogTime.append(out, this.clock.instant());
		out.append(' ').append(level).append(' ').append(source.getSimpleName()).append(' ').append(line);
		if (cause != null) {
			out.append(" stack=").append(EventLog.quoted(stack(cause)));
		}
		return out.toString();
	}

	private static String stack(Throwable cause) {
		StringBuilder frames = new StringBuilder();
		StackTraceElement[] all = cause.getStackTrace();
		for (int i = 0; i < Math.min(all.length, MOST_FRAMES); i++) {
			frames.append((i > 0) ? " < " : "").append(all[i]);
		}
		return frames.toString();
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
	public synchronized void write() {
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
