package org.sardineport.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.DaemonSettingsReader;

/**
 * Entry point of the daemon process. Exits with 0 after a planned stop or a successful
 * check of the settings, 1 if the start fails, 2 on invalid arguments, and 3 if the
 * settings are unreadable or invalid.
 */
@Command(name = "sardineportd", description = "Runs one daemon of sardineport until it is told to stop")
public final class Main {

	private static final EventLog LOG = EventLog.of(Main.class);

	private static final int EXIT_OK = 0;

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_INVALID_SETTINGS = 3;

	@Option(name = "--settings", title = "FILE", description = "File with the daemon's settings in YAML")
	@Required
	private String settingsFile = "";

	@Option(name = "--check", description = "Checks the settings and starts nothing")
	private boolean checkOnly;

	/**
	 * Starts the daemon and returns; the daemon runs until the process receives SIGTERM.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		int status = run(arguments, System.err);
		if (status != EXIT_OK) {
			System.exit(status);
		}
	}

	static int run(String[] arguments, PrintStream err) {
		try {
			return SingleCommand.singleCommand(Main.class).parse(arguments).execute(err);
		}
		catch (ParseException ex) {
			err.println(ex.getMessage());
			err.println("Usage: sardineportd --settings FILE [--check]");
			return EXIT_USAGE;
		}
	}

	private int execute(PrintStream err) {
		DaemonSettings settings;
		try {
			settings = DaemonSettingsReader.create().read(Files.readString(Path.of(this.settingsFile)));
		}
		catch (IOException ex) {
			err.println("Cannot read the settings: " + ex);
			return EXIT_INVALID_SETTINGS;
		}
		catch (InvalidDocumentException ex) {
			err.println(ex.getMessage());
			return EXIT_INVALID_SETTINGS;
		}
		if (this.checkOnly) {
			err.println("The settings are valid.");
			return EXIT_OK;
		}
		return start(settings);
	}

	private static int start(DaemonSettings settings) {
		SardineportDaemon daemon = SardineportDaemon.create(settings, SteadyInstantSource.create());
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
		try {
			daemon.start().toCompletableFuture().join();
			return EXIT_OK;
		}
		catch (CompletionException ex) {
			LOG.error("daemon.start-failed", ex, "daemon", settings.daemon());
			Runtime.getRuntime().halt(EXIT_FAILED);
			return EXIT_FAILED;
		}
	}

	private static void stop(SardineportDaemon daemon) {
		daemon.stop().toCompletableFuture().join();
		Runtime.getRuntime().halt(EXIT_OK);
	}

}
