package org.wisteriapost.operator.bundle;

import java.util.ArrayList;
import java.util.List;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.ServiceSpec;

/**
 * Parsed bundle file, before it is pinned to the chunk hashes of the origin.
 *
 * @param settings the file, to locate findings
 * @param name the name of the bundle
 * @param version the version assigned by the operators
 * @param weights the models and adapters
 * @param services the services and where they run
 */
public record BundleDraft(Settings settings, String name, String version, List<DraftWeight> weights,
		List<ServiceSpec> services) {

	private static final Code KEY_UNKNOWN = Code.error("bundle-key-unknown",
			"A section or key of a bundle file is not one that a bundle has.");

	/**
	 * Returns the content of a file; unreadable values are reported as findings and
	 * skipped.
	 */
	public static BundleDraft read(Settings settings, Findings findings) {
		settings.sections().forEach((section) -> checkKeys(settings, section, findings));
		List<DraftWeight> weights = new ArrayList<>();
		for (String name : settings.sectionsOfKind("weight")) {
			String section = "weight " + name;
			weights.add(new DraftWeight(name, text(BundleSettings.WEIGHT_VERSION, settings, section, findings),
					text(BundleSettings.WEIGHT_PATH, settings, section, findings)));
		}
		List<ServiceSpec> services = new ArrayList<>();
		settings.sectionsOfKind("service").forEach((name) -> services.add(service(settings, name, findings)));
		return new BundleDraft(settings, text(BundleSettings.NAME, settings, "bundle", findings),
				text(BundleSettings.VERSION, settings, "bundle", findings), List.copyOf(weights),
				List.copyOf(services));
	}

	private static ServiceSpec service(Settings settings, String name, Findings findings) {
		String section = "service " + name;
		BundleSettings.checkKind(settings, section, findings);
		text(BundleSettings.FAILURE_DOMAINS, settings, section, findings);
		boolean plain = settings.text(section, BundleSettings.KIND.key()).filter("plain"::equals).isPresent();
		return new ServiceSpec(name, plain ? ServiceSpec.Kind.PLAIN : ServiceSpec.Kind.MODEL,
				text(BundleSettings.MODEL, settings, section, findings),
				settings.items(section, BundleSettings.ADAPTERS.key()),
				settings.items(section, BundleSettings.FAILURE_DOMAINS.key()),
				settings.items(section, BundleSettings.VMS.key()),
				BundleSettings.MIN_READY.read(settings, section, findings).orElse(1L).intValue());
	}

	private static String text(Setting<String> setting, Settings settings, String section, Findings findings) {
		return setting.read(settings, section, findings).orElse("");
	}

	private static void checkKeys(Settings settings, String section, Findings findings) {
		List<Setting<?>> known = BundleSettings.ofSection(section);
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
	 * Declaration of a model or adapter.
	 *
	 * @param name the name that services refer to
	 * @param version the version assigned by the publisher
	 * @param path the path at the origin
	 */
	public record DraftWeight(String name, String version, String path) {
	}

}
