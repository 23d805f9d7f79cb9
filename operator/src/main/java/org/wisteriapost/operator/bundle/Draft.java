package org.wisteriapost.operator.bundle;

import java.util.ArrayList;
import java.util.List;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.ServiceSpec;

/**
 * A bundle as an operator wrote it, before the origin's chunk hashes are pinned.
 *
 * @param settings the file, for the locations of findings
 * @param name what operators call it
 * @param version the operators' version
 * @param weights the models and adapters
 * @param services what runs where
 */
public record Draft(Settings settings, String name, String version, List<DraftWeight> weights,
		List<ServiceSpec> services) {

	private static final Code KEY_UNKNOWN = Code.error("bundle-key-unknown",
			"A section or key of a bundle file is not one that a bundle has.");

	/**
	 * Returns the draft in a file; what cannot be read is a finding and left out.
	 */
	public static Draft read(Settings settings, Findings findings) {
		settings.sections().forEach((section) -> checkKeys(settings, section, findings));
		List<DraftWeight> weights = new ArrayList<>();
		for (String name : settings.named("weight")) {
			String section = "weight " + name;
			weights.add(new DraftWeight(name, text(BundleSettings.WEIGHT_VERSION, settings, section, findings),
					text(BundleSettings.WEIGHT_PATH, settings, section, findings)));
		}
		List<ServiceSpec> services = new ArrayList<>();
		settings.named("service").forEach((name) -> services.add(service(settings, name, findings)));
		return new Draft(settings, text(BundleSettings.NAME, settings, "bundle", findings),
				text(BundleSettings.VERSION, settings, "bundle", findings), List.copyOf(weights),
				List.copyOf(services));
	}

	private static ServiceSpec service(Settings settings, String name, Findings findings) {
		String section = "service " + name;
		BundleSettings.checkKind(settings, section, findings);
		text(BundleSettings.PLACES, settings, section, findings);
		boolean plain = settings.text(section, BundleSettings.KIND.key()).filter("plain"::equals).isPresent();
		return new ServiceSpec(name, plain ? ServiceSpec.Kind.PLAIN : ServiceSpec.Kind.MODEL,
				text(BundleSettings.MODEL, settings, section, findings),
				settings.items(section, BundleSettings.ADAPTERS.key()),
				settings.items(section, BundleSettings.PLACES.key()), settings.items(section, BundleSettings.VMS.key()),
				BundleSettings.MIN_READY.read(settings, section, findings).orElse(1L).intValue());
	}

	private static String text(Setting<String> setting, Settings settings, String section, Findings findings) {
		return setting.read(settings, section, findings).orElse("");
	}

	private static void checkKeys(Settings settings, String section, Findings findings) {
		List<Setting<?>> known = BundleSettings.of(section);
		if (known.isEmpty()) {
			findings.add(KEY_UNKNOWN, settings.locate(section, ""), "no such section",
					"use [bundle], [weight NAME] or [service NAME]");
			return;
		}
		for (String key : settings.keys(section)) {
			if (known.stream().noneMatch((setting) -> setting.key().equals(key))) {
				findings.add(KEY_UNKNOWN, settings.locate(section, key), "no such key",
						"use one of " + known.stream().map(Setting::key).sorted().toList());
			}
		}
	}

	/**
	 * One model or adapter as written.
	 *
	 * @param name as services name it
	 * @param version the publisher's
	 * @param path at the origin
	 */
	public record DraftWeight(String name, String version, String path) {
	}

}
