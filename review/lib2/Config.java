package review2;

/** Configurations of the operator. */
public final class Config {

	public static final String HOST = "ficu95.example";

	private Config() {
	}

	/** One service, one route to it and one tenant with the keys. */
	public static String document(long version, String service, String kind, int timeoutMs, String... keys) {
		return """
				{"version":%d,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/cufi504/","kind":"%s","timeout_ms":%d,"goal_ms":150,"priority":2,"service":"%s","max_attempts":2,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"%s","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["%s"],"priority":1,"unit":"token_count","plain_tokens":200,"rate_per_s":126640,"burst":126640}]}
				"""
			.strip()
			.formatted(version, kind, timeoutMs, service, service, String.join("\",\"", keys));
	}

}
