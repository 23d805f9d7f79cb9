package org.wisteriapost.operator.bundle;

import java.util.List;
import java.util.Set;
import java.util.function.Function;

import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.Settings;

/**
 * Keys of a bundle file. Not a {@link org.wisteriapost.kernel.settings.SettingsSchema},
 * because bundles and settings are separate files.
 */
final class BundleSettings {

	static final Setting<String> NAME = Setting.text("bundle", "name", "What operators call the bundle.");

	static final Setting<String> VERSION = Setting.text("bundle", "version", "The operators' version of it.");

	static final Setting<String> WEIGHT_VERSION = Setting.text("weight NAME", "version",
			"The publisher's version of the model or adapter.");

	static final Setting<String> WEIGHT_PATH = Setting.text("weight NAME", "path", "Where the origin serves it.");

	static final Setting<String> KIND = new Setting<>("service NAME", "kind", "model or plain", Function.identity(),
			java.util.Optional.of("model"), "What answers the service's calls.");

	static final Setting<String> MODEL = Setting.text("service NAME", "model", "The [weight NAME] it serves.")
		.orElse("");

	static final Setting<String> ADAPTERS = Setting
		.text("service NAME", "adapters", "The [weight NAME] adapters on top of the model, with commas between.")
		.orElse("");

	static final Setting<String> FAILURE_DOMAINS = Setting.text("service NAME", "places",
			"Failure domains it runs in, with commas between.");

	static final Setting<String> VMS = Setting
		.text("service NAME", "vms", "VMs that serve it, with commas between; empty for all that are set to it.")
		.orElse("");

	static final Setting<Long> MIN_READY = Setting
		.number("service NAME", "min-ready", 0, 100_000,
				"Runners in each failure domain that keep serving while others switch.")
		.orElse("1");

	private static final List<Setting<?>> ALL = List.of(NAME, VERSION, WEIGHT_VERSION, WEIGHT_PATH, KIND, MODEL,
			ADAPTERS, FAILURE_DOMAINS, VMS, MIN_READY);

	private static final Set<String> KINDS = Set.of("model", "plain");

	private BundleSettings() {
	}

	static List<Setting<?>> ofSection(String section) {
		String kind = section.contains(" ") ? section.substring(0, section.indexOf(' ')) + " NAME" : section;
		return ALL.stream().filter((setting) -> setting.section().equals(kind)).toList();
	}

	static void checkKind(Settings settings, String section, Findings findings) {
		KIND.read(settings, section, findings)
			.filter((kind) -> !KINDS.contains(kind))
			.ifPresent((kind) -> findings.add(Setting.SETTING_INVALID, settings.locate(section, KIND.key()),
					"\"" + kind + "\" is not accepted", "write " + KIND.format()));
	}

}
