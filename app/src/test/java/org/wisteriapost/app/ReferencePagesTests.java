package org.wisteriapost.app;

import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.SettingsSchema;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class ReferencePagesTests {

	private static final Path DOCS = Path.of(System.getProperty("wisteriapost.root"), "docs");

	@Test
	void everyCodeHasAPageAndEveryPageACode() throws Exception {
		Set<String> codes = codes().stream().map(Code::name).collect(Collectors.toCollection(TreeSet::new));
		Set<String> pages = pageNames(DOCS.resolve("codes"));
		assertThat("codes without a page", difference(codes, pages), is(Set.of()));
		assertThat("pages without a code", difference(pages, codes), is(Set.of()));
	}

	@Test
	void everyCodePageHasTheRequiredSections() throws Exception {
		for (String name : pageNames(DOCS.resolve("codes"))) {
			String page = Files.readString(DOCS.resolve("codes").resolve(name + ".md"));
			for (String section : List.of("## Problem", "## Why it matters", "## What to do")) {
				assertThat(name, page, containsString(section));
			}
		}
	}

	// After changing a setting, run this test with -Dwisteriapost.write=true, which
	// regenerates the page.
	@Test
	void settingsPageMatchesTheSchemas() throws Exception {
		Path page = DOCS.resolve("operations").resolve("settings.md");
		String rendered = SettingsPageRenderer.render(settings());
		if (Boolean.getBoolean("wisteriapost.write")) {
			Files.createDirectories(page.getParent());
			Files.writeString(page, rendered);
		}
		Set<String> committed = lines(Files.readString(page));
		assertThat("missing from the page", difference(lines(rendered), committed), is(Set.of()));
		assertThat("not in the schemas", difference(committed, lines(rendered)), is(Set.of()));
	}

	private static Set<String> lines(String page) {
		return new TreeSet<>(page.lines().toList());
	}

	private static Set<String> difference(Set<String> minuend, Set<String> subtrahend) {
		Set<String> difference = new TreeSet<>(minuend);
		difference.removeAll(subtrahend);
		return difference;
	}

	private static List<Setting<?>> settings() {
		List<Setting<?>> settings = new ArrayList<>();
		ServiceLoader.load(SettingsSchema.class).forEach((schema) -> settings.addAll(schema.keys()));
		return settings;
	}

	private static Set<String> pageNames(Path folder) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			return files.map((file) -> file.getFileName().toString().replace(".md", ""))
				.collect(Collectors.toCollection(TreeSet::new));
		}
	}

	private static List<Code> codes() throws ReflectiveOperationException {
		List<Code> codes = new ArrayList<>();
		for (JavaClass found : new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
			.importPackages("org.wisteriapost")) {
			boolean declares = found.getFields()
				.stream()
				.anyMatch((field) -> field.getRawType().isEquivalentTo(Code.class)
						&& field.getModifiers().contains(com.tngtech.archunit.core.domain.JavaModifier.STATIC));
			if (declares) {
				codes.addAll(declaredCodes(Class.forName(found.getName())));
			}
		}
		return codes;
	}

	private static List<Code> declaredCodes(Class<?> type) throws ReflectiveOperationException {
		List<Code> codes = new ArrayList<>();
		for (Field field : type.getDeclaredFields()) {
			if (field.getType() == Code.class && Modifier.isStatic(field.getModifiers())) {
				field.setAccessible(true);
				codes.add((Code) field.get(null));
			}
		}
		return codes;
	}

}
