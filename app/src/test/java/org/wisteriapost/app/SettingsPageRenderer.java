package org.wisteriapost.app;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.wisteriapost.kernel.settings.Setting;

/**
 * Renders the settings reference in Markdown.
 */
final class SettingsPageRenderer {

	private static final String HEADER = """
			# Settings

			One INI file for each process and for operators. `wisteriapost settings check FILE` shows all findings at once; a
			process checks the same before it starts anything. This page is compared with the code by a test.
			""";

	private SettingsPageRenderer() {
	}

	static String render(List<Setting<?>> settings) {
		Map<String, List<Setting<?>>> sections = settings.stream()
			.collect(Collectors.groupingBy(Setting::section, TreeMap::new, Collectors.toList()));
		StringBuilder page = new StringBuilder(HEADER);
		sections.forEach((section, sectionSettings) -> {
			page.append("\n## [")
				.append(section)
				.append("]\n\n| key | value | default | meaning |\n|---|---|---|---|\n");
			sectionSettings.stream()
				.sorted(Comparator.comparing((Setting<?> setting) -> setting.key()))
				.forEach((setting) -> page.append("| `%s` | %s | %s | %s |\n".formatted(setting.key(), setting.format(),
						defaultValue(setting), setting.doc())));
		});
		return page.toString();
	}

	private static String defaultValue(Setting<?> setting) {
		return setting.defaultText()
			.map((value) -> value.isEmpty() ? "empty" : "`" + value + "`")
			.orElse("must be given");
	}

}
