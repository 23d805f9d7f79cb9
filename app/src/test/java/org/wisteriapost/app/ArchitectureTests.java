package org.wisteriapost.app;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;

class ArchitectureTests {

	private static final String ROOT = "org.wisteriapost.";

	private final JavaClasses classes = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("org.wisteriapost");

	@Test
	void modulesFollowTheLayering() {
		Architectures.layeredArchitecture()
			.consideringOnlyDependenciesInLayers()
			.layer("kernel")
			.definedBy(ROOT + "kernel..")
			.layer("policy")
			.definedBy(ROOT + "policy..")
			.layer("protocol")
			.definedBy(ROOT + "protocol..")
			.layer("entry")
			.definedBy(ROOT + "entry..")
			.layer("agent")
			.definedBy(ROOT + "agent..")
			.layer("operator")
			.definedBy(ROOT + "operator..")
			.layer("platform")
			.definedBy(ROOT + "platform..")
			.layer("app")
			.definedBy(ROOT + "app..")
			.whereLayer("app")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("platform")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("entry")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("agent")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("operator")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("protocol")
			.mayOnlyBeAccessedByLayers("platform", "entry", "agent", "operator", "app")
			.whereLayer("policy")
			.mayOnlyBeAccessedByLayers("protocol", "platform", "entry", "agent", "operator", "app")
			.check(this.classes);
	}

	// A policy that reads a clock or a socket cannot be replayed deterministically from
	// a seed.
	@Test
	void policyUsesNoIoThreadsOrClock() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage(ROOT + "policy..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "java.util.concurrent..",
					"io.netty..", "io.undertow..", "org.xnio..", "com.lmax..")
			.orShould()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.lang.Thread")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.util.Random")
			.check(this.classes);
	}

	// The platform module is an adapter for one kind of site and must be replaceable by
	// another adapter without changes to other modules.
	@Test
	void noModuleDependsOnThePlatformAdapter() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideOutsideOfPackage(ROOT + "platform..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage(ROOT + "platform..")
			.check(this.classes);
	}

	@ParameterizedTest
	@ValueSource(strings = { "X-Wisteriapost-Attempt", "X-Wisteriapost-Deadline", "/v1/objects", "/v1/resolution",
			"/v1/readyz", "/v1/report", "/v1/order", "stage-put", "sampleCount", "routeType", "apiKeys",
			"coldRemainingMs", "WISTERIAPOST_SETTINGS" })
	void platformNamesAppearOnlyInThePlatformModule(String name) throws IOException {
		Path root = Path.of(System.getProperty("wisteriapost.root"));
		try (Stream<Path> files = Files.walk(root)) {
			List<Path> found = files.filter((file) -> file.toString().matches(".*/src/main/.*[.](java|proto)"))
				.filter((file) -> !root.relativize(file).startsWith("platform"))
				.filter((file) -> contains(file, name))
				.toList();
			assertThat(found, Matchers.empty());
		}
	}

	private static boolean contains(Path file, String name) {
		try {
			return Files.readString(file).contains(name);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Test
	void noClassStartsAProcess() {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.lang.ProcessBuilder")
			.orShould()
			.callMethod(Runtime.class, "exec", String.class)
			.check(this.classes);
	}

	@Test
	void noClassUsesTheJdkHttpClient() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.wisteriapost..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage("java.net.http..")
			.check(this.classes);
	}

}
