package org.wisteriapost.app;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.wisteriapost.kernel.settings.Setting;

/**
 * Renders the settings reference.
 */
final class SettingsPage {

	private static final String HEAD = """
			# Settings

			One INI file for each process and for operators. `wisteriapost settings check FILE` shows all findings at once; a
			process checks the same before it starts anything. This page is compared with the code by a test.
			""";

	private SettingsPage() {
	}

	static String render(List<Setting<?>> keys) {
		Map<String, List<Setting<?>>> sections = keys.stream()
			.collect(Collectors.groupingBy(Setting::section, TreeMap::new, Collectors.toList()));
		StringBuilder page = new StringBuilder(HEAD);
		sections.forEach((section, settings) -> {
			page.append("\n## [")
				.append(section)
				.append("]\n\n| key | value | default | meaning |\n|---|---|---|---|\n");
			settings.stream()
				.sorted(Comparator.comparing((Setting<?> setting) -> setting.key()))
				.forEach((setting) -> page.append("| `%s` | %s | %s | %s |\n".formatted(setting.key(), setting.shape(),
						fallback(setting), setting.doc())));
		});
		return page.toString();
	}

	private static String fallback(Setting<?> setting) {
		return setting.fallback().map((value) -> value.isEmpty() ? "empty" : "`" + value + "`").orElse("must be given");
	}

}
