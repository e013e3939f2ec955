package org.sardineport.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

import com.github.rvesse.airline.annotations.Option;
import org.sardineport.cli.Console;
import org.sardineport.cli.UsageException;
import org.sardineport.cli.operator.DaemonClient;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Options for access to the operators' port of a daemon.
 */
public final class OperatorOptions {

	private static final String OPTION = "--operator";

	private static final String VARIABLE = "SARDINEPORT_OPERATOR";

	private static final String TOKEN_VARIABLE = "SARDINEPORT_OPERATOR_TOKEN";

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	@Option(name = OPTION, title = "IP:PORT",
			description = "Operators' port of any daemon; default: environment variable " + VARIABLE)
	private String address = "";

	@Option(name = "--token-file", title = "FILE",
			description = "File with the operators' token; default: environment variable " + TOKEN_VARIABLE)
	private String tokenFile = "";

	/**
	 * Returns a client for the daemon given by option or environment variable.
	 * @param console source of environment variables
	 * @return the client, or empty if no address is given
	 * @throws UsageException if the address is malformed
	 * @throws IOException if the token file cannot be read
	 */
	Optional<DaemonClient> client(Console console) throws UsageException, IOException {
		Optional<NetworkAddress> port = CliCommand.address(this.address, OPTION, VARIABLE, console);
		if (port.isEmpty()) {
			return Optional.empty();
		}
		Optional<String> token = this.tokenFile.isEmpty() ? console.environment(TOKEN_VARIABLE)
				: Optional.of(Files.readString(Path.of(this.tokenFile)).strip());
		return Optional.of(DaemonClient.of(port.get(), token, TIMEOUT));
	}

	/**
	 * Returns a client for the daemon given by option or environment variable.
	 * @param console source of environment variables
	 * @return the client
	 * @throws UsageException if the address is missing or malformed
	 * @throws IOException if the token file cannot be read
	 */
	DaemonClient requiredClient(Console console) throws UsageException, IOException {
		return client(console).orElseThrow(() -> CliCommand.missing("a daemon's operators' port", OPTION, VARIABLE));
	}

}
