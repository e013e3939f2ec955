package org.sardineport.core;

import java.time.Clock;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Random;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption.Predefined;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Keeps the core free of input and output, threads, wall clock and hidden randomness.
 */
class ArchitectureTests {

	private static JavaClasses core;

	@BeforeAll
	static void importCore() {
		core = new ClassFileImporter().withImportOption(Predefined.DO_NOT_INCLUDE_TESTS)
			.importPackages("org.sardineport.core");
		assertThat(core).isNotEmpty();
	}

	@Test
	void coreDoesNoInputOrOutput() {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.io..", "java.net..", "java.nio.file..", "java.nio.channels..", "java.sql..",
					"io.vertx..", "io.netty..", "com.google.protobuf..", "org.apache.logging..")
			.because("adapters carry input and output")
			.check(core);
	}

	@Test
	void coreHasNoThreads() {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.haveNameMatching("java\\.lang\\.(Thread|ThreadLocal|Runtime|Process|ProcessBuilder)"
					+ "|java\\.util\\.Timer|java\\.util\\.concurrent\\.(.*Executor.*|ForkJoinPool|.*BlockingQueue"
					+ "|CountDownLatch|Semaphore|locks\\..*)")
			.because("a duty of the daemon gives each decision its thread")
			.check(core);
	}

	@Test
	void coreReadsNoWallClock() {
		ArchRuleDefinition.noClasses()
			.should()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(Instant.class, "now")
			.orShould()
			.callMethod(Clock.class, "systemUTC")
			.orShould()
			.callMethod(InstantSource.class, "system")
			.because("the clock is passed in")
			.check(core);
	}

	@Test
	void coreHasNoHiddenRandomness() {
		ArchRuleDefinition.noClasses()
			.should()
			.callMethod(Math.class, "random")
			.orShould()
			.callConstructor(Random.class)
			.orShould()
			.dependOnClassesThat()
			.haveNameMatching("java\\.util\\.concurrent\\.ThreadLocalRandom|java\\.security\\.SecureRandom")
			.because("randomness is passed in with its seed")
			.check(core);
	}

}
