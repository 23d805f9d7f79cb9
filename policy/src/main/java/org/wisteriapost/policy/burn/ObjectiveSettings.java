package org.wisteriapost.policy.burn;

import java.util.List;

import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.kernel.settings.SettingsSchema;

/**
 * The keys of {@code [objective NAME]} sections.
 */
public final class ObjectiveSettings implements SettingsSchema {

	private static final String SECTION = "objective NAME";

	private static final Setting<String> SERVICE = Setting.text(SECTION, "service", "Service the objective is about.");

	private static final Setting<String> ORGANISATION = Setting
		.text(SECTION, "organisation", "Organisation the objective is about, * for all.")
		.orElse(Objective.ALL_ORGANISATIONS);

	private static final Setting<Double> AVAILABILITY = Setting
		.fraction(SECTION, "availability", 0.5, 0.99999, "Share of requests that must be answered whole and in time.")
		.orElse("0.99");

	private static final Setting<Long> LATENCY = Setting
		.number(SECTION, "latency-ms", 1, 600_000, "Milliseconds to the first byte within which an answer is in time.")
		.orElse("740");

	@Override
	public List<Setting<?>> keys() {
		return List.of(SERVICE, ORGANISATION, AVAILABILITY, LATENCY);
	}

	/**
	 * Returns the objectives of a validated settings file.
	 */
	public static List<Objective> read(Settings settings) {
		return settings.sectionsOfKind("objective").stream().map((name) -> {
			String section = "objective " + name;
			return new Objective(name, SERVICE.get(settings, section), ORGANISATION.get(settings, section),
					AVAILABILITY.get(settings, section), LATENCY.get(settings, section));
		}).toList();
	}

}
