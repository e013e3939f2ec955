import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The operator takes away both keys of the only tenant. Clients go on asking with the keys
 * that were taken away, with a key that never was in force, and without a key.
 */
public final class LastKeyRevoked extends Case {

	private static final int DAEMONS = 3;

	/** Bound of the settings: what is sent later than this after the confirmation must not run. */
	private static final long REVOKE_MILLIS = 5000;

	private static final List<String> KEYS = List.of("i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb");

	private static final String NEVER_IN_FORCE = "x0x0x0x0x0x0x0x0x0x0";

	private int ranRevoked;

	private int ranUnknown;

	private LastKeyRevoked(Path directory) throws IOException {
		super(directory, DAEMONS);
	}

	public static void main(String[] arguments) throws IOException {
		new LastKeyRevoked(Path.of(arguments[0])).main();
	}

	@Override
	int play() throws IOException {
		configure(1, KEYS);
		if (!startAll(30)) {
			return NOT_RUN;
		}
		for (int i = 0; i < DAEMONS; i++) {
			for (String key : KEYS) {
				if (get(i, "/cufi504/fi50/2f", newId(), key) != 200) {
					return NOT_RUN;
				}
			}
		}
		long never = Long.MAX_VALUE / 2;
		long firstTaken = never;
		long secondTaken = never;
		if (this.trouble) {
			firstTaken = configure(2, KEYS.subList(1, 2));
			Worker.sleep(1500);
			secondTaken = configure(3, List.of());
		}
		long until = this.transcript.millis() + REVOKE_MILLIS + 6000;
		while (this.transcript.millis() < until) {
			for (int i = 0; i < DAEMONS; i++) {
				this.ranRevoked += ranAfter(i, KEYS.get(0), firstTaken + REVOKE_MILLIS);
				this.ranRevoked += ranAfter(i, KEYS.get(1), secondTaken + REVOKE_MILLIS);
				this.ranUnknown += ranAfter(i, NEVER_IN_FORCE, 0);
				this.ranUnknown += ranAfter(i, null, 0);
			}
			Worker.sleep(500);
		}
		this.transcript.line("ran with a key taken away more than " + REVOKE_MILLIS + " ms before: " + this.ranRevoked);
		this.transcript.line("ran with a key that never was in force, or with none: " + this.ranUnknown);
		return (this.ranRevoked + this.ranUnknown > 0) ? BROKEN : HELD;
	}

	private long configure(int version, List<String> keys) {
		return configure(version, route("case-file-fetch", "/cufi504/", "idempotent", 800), tenant("hule930", keys));
	}

	/** Sends a request. Returns 1 if it was sent after a time and ran, else 0. */
	private int ranAfter(int daemon, String key, long time) throws IOException {
		String id = newId();
		boolean late = this.transcript.millis() > time;
		get(daemon, "/cufi504/fi50/2f", id, key);
		if (late && !this.transcript.runsOf(id).isEmpty()) {
			this.transcript.line("BROKEN " + id + " ran with the key " + key + ", tenant at the worker: "
					+ this.transcript.runsOf(id).get(0).tenant());
			return 1;
		}
		return 0;
	}

}
