package org.wisteriapost.kernel.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;

/**
 * Validates a settings file against all registered schemas, so that one run reports all
 * findings.
 */
public final class SettingsCheck {

	private static final Code SETTING_UNKNOWN = Code.error("setting-unknown",
			"A section or key is not one that the program reads.");

	private SettingsCheck() {
	}

	public static Findings run(Settings settings) {
		List<SettingsSchema> schemas = new ArrayList<>();
		ServiceLoader.load(SettingsSchema.class).forEach(schemas::add);
		Findings findings = new Findings();
		for (String section : settings.sections()) {
			checkSection(settings, section, schemas, findings);
		}
		schemas.forEach((schema) -> schema.check(settings, findings));
		return findings;
	}

	private static void checkSection(Settings settings, String section, List<SettingsSchema> schemas,
			Findings findings) {
		List<Setting<?>> known = schemas.stream()
			.flatMap((schema) -> schema.keys().stream())
			.filter((setting) -> matchesSection(setting, section))
			.toList();
		if (known.isEmpty()) {
			findings.add(SETTING_UNKNOWN, settings.locate(section, ""), "no such section", "remove or rename it");
			return;
		}
		known.forEach((setting) -> setting.read(settings, section, findings));
		for (String key : settings.keys(section)) {
			if (known.stream().noneMatch((setting) -> setting.key().equals(key))) {
				findings.add(SETTING_UNKNOWN, settings.locate(section, key), "no such key",
						"use one of " + known.stream().map(Setting::key).sorted().toList());
			}
		}
	}

	private static boolean matchesSection(Setting<?> setting, String section) {
		return setting.section().equals(section) || (setting.section().endsWith(" NAME")
				&& section.startsWith(setting.section().substring(0, setting.section().length() - "NAME".length())));
	}

}
