package review2;

/** Starts threads that do not keep the process alive. */
public final class Threads {

	public interface Work {

		void run() throws Exception;

	}

	private Threads() {
	}

	public static Thread start(String name, Work work) {
		Thread thread = new Thread(() -> {
			try {
				work.run();
			}
			catch (Exception ex) {
				System.err.println(name + ": " + ex);
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	public static void sleep(long millis) throws InterruptedException {
		Thread.sleep(Math.max(0, millis));
	}

}
