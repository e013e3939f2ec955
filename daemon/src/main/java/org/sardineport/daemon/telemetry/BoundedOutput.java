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
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

import org.jspecify.annotations.Nullable;

/**
 * Writes events to standard output without blocking the logging thread: lines are queued
 * in a bounded queue and written by a background thread. When the queue is nearly full,
 * debug and info lines are dropped and counted, so that there is room for warnings and
 * errors. Safe for use by any thread.
 */
public final class BoundedOutput implements EventSink {

	/** Capacity of the queue, in lines. */
	private static final int MAX_QUEUED_LINES = 8192;

	/** Part of the queue that only warnings and errors may use, in lines. */
	private static final int RESERVED_LINES = 1024;

	/** Minimum pause between two writes of the background thread. */
	private static final Duration WRITE_INTERVAL = Duration.ofMillis(50);

	/** Maximum number of stack frames that are logged with an error. */
	private static final int MAX_FRAMES = 12;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

	private final AtomicLong droppedLines = new AtomicLong();

	/** The background thread while it waits for a line. */
	private final AtomicReference<@Nullable Thread> waitingWriter = new AtomicReference<>();

	private final OutputStream target;

	private final InstantSource clock;

	private BoundedOutput(OutputStream target, InstantSource clock) {
		this.target = Objects.requireNonNull(target, "target must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Returns an output without a background thread. Its lines stay queued until
	 * {@link #write()} is called.
	 * @param target the stream to write to
	 * @param clock the source of the lines' timestamps
	 * @return the output
	 */
	static BoundedOutput create(OutputStream target, InstantSource clock) {
		return new BoundedOutput(target, clock);
	}

	/**
	 * Directs all events to standard output, and starts the background thread and a
	 * shutdown hook that writes the lines still queued.
	 * @return the output
	 */
	public static BoundedOutput install() {
		BoundedOutput output = create(new FileOutputStream(FileDescriptor.out), InstantSource.system());
		EventLog.setSink(output);
		output.startWriter();
		Runtime.getRuntime().addShutdownHook(new Thread(output::write, "log-flush"));
		return output;
	}

	@Override
	public boolean isEnabled(Class<?> source, EventLevel level) {
		return level != EventLevel.DEBUG;
	}

	@Override
	public void write(Class<?> source, EventLevel level, String line, @Nullable Throwable cause) {
		boolean accepted = !level.isDroppable() || this.lines.remainingCapacity() > RESERVED_LINES;
		if (!accepted || !this.lines.offer(formatLine(source, level, line, cause))) {
			this.droppedLines.incrementAndGet();
		}
		wakeWriter();
	}

	private String formatLine(Class<?> source, EventLevel level, String line, @Nullable Throwable cause) {
		StringBuilder out = new StringBuilder(line.length() + 64).append("time=");
		LogTime.append(out, this.clock.instant());
		out.append(' ').append(level).append(' ').append(source.getSimpleName()).append(' ').append(line);
		if (cause != null) {
			out.append(" stack=").append(EventLog.quoteIfNeeded(formatStack(cause)));
		}
		return out.toString();
	}

	private static String formatStack(Throwable cause) {
		StringBuilder frames = new StringBuilder();
		StackTraceElement[] all = cause.getStackTrace();
		for (int i = 0; i < Math.min(all.length, MAX_FRAMES); i++) {
			frames.append((i > 0) ? " < " : "").append(all[i]);
		}
		return frames.toString();
	}

	/**
	 * Starts the background thread. Interrupting it ends it.
	 * @return the thread
	 */
	Thread startWriter() {
		Thread writer = new Thread(this::writeForever, "log-writer");
		writer.setDaemon(true);
		writer.start();
		return writer;
	}

	private void writeForever() {
		while (!Thread.currentThread().isInterrupted()) {
			write();
			LockSupport.parkNanos(WRITE_INTERVAL.toNanos());
			awaitLine();
		}
	}

	// Prevents lost wake-ups: a logging thread queues its line before it reads the flag,
	// and the writer sets the flag before it looks at the queue.
	private void awaitLine() {
		this.waitingWriter.set(Thread.currentThread());
		if (this.lines.isEmpty() && this.droppedLines.get() == 0) {
			LockSupport.park(this);
		}
		this.waitingWriter.set(null);
	}

	private void wakeWriter() {
		Thread writer = this.waitingWriter.get();
		if (writer != null && this.waitingWriter.compareAndSet(writer, null)) {
			LockSupport.unpark(writer);
		}
	}

	/**
	 * Writes all queued lines, followed by the number of lines dropped since the last
	 * write. May block. Called by the background thread and at shutdown.
	 */
	public synchronized void write() {
		List<String> waiting = new ArrayList<>();
		this.lines.drainTo(waiting);
		long dropped = this.droppedLines.getAndSet(0);
		if (dropped > 0) {
			waiting.add("event=log.left-out lines=" + dropped);
		}
		if (waiting.isEmpty()) {
			return;
		}
		try {
			this.target.write((String.join("\n", waiting) + "\n").getBytes(StandardCharsets.UTF_8));
			this.target.flush();
		}
		catch (IOException ex) {
			// The output is closed, so the error cannot be logged; count the lines as
			// dropped.
			this.droppedLines.addAndGet(waiting.size());
		}
	}

}
