package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with milliseconds since the start. */
public final class Note {

	private final PrintWriter out;

	private final long start = System.nanoTime();

	public Note(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	public long now() {
		return (System.nanoTime() - this.start) / 1_000_000;
	}

	public synchronized void write(String text) {
		this.out.printf("%6d %s%n", now(), text);
		this.out.flush();
	}

	public synchronized void say(String text) {
		System.out.println(text);
		write(text);
	}

}
