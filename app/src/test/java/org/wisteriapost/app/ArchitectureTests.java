package org.wisteriapost.app;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;
import org.junit.jupiter.api.Test;

class ArchitectureTests {

	private static final String ROOT = "org.wisteriapost.";

	private final JavaClasses classes = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("org.wisteriapost");

	@Test
	void modulesDependOneWay() {
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
			.layer("app")
			.definedBy(ROOT + "app..")
			.whereLayer("app")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("entry")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("agent")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("operator")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("protocol")
			.mayOnlyBeAccessedByLayers("entry", "agent", "operator", "app")
			.whereLayer("policy")
			.mayOnlyBeAccessedByLayers("protocol", "entry", "agent", "operator", "app")
			.check(this.classes);
	}

	// A decision that reads a clock or a socket cannot be replayed from its seed.
	@Test
	void decisionsHaveNoInputOutputThreadsOrClock() {
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

	@Test
	void nothingStartsAProcess() {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.lang.ProcessBuilder")
			.orShould()
			.callMethod(Runtime.class, "exec", String.class)
			.check(this.classes);
	}

	@Test
	void httpIsSpokenByUndertowAlone() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.wisteriapost..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage("java.net.http..")
			.check(this.classes);
	}

}
