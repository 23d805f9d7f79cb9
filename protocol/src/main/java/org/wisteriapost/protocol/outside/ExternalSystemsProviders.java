package org.wisteriapost.protocol.outside;

import java.util.List;
import java.util.Optional;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.Plugins;
import org.wisteriapost.kernel.settings.CommonSettings;
import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.kernel.settings.SettingsSchema;

/**
 * Finds the provider that the settings select, and reports an unknown name.
 */
public final class ExternalSystemsProviders implements SettingsSchema {

	private static final Code PROVIDER_UNKNOWN = Code.error("provider-unknown",
			"The settings name adapters for the outside systems that the program does not have.");

	/**
	 * Returns the provider that valid settings select.
	 */
	public static ExternalSystemsProvider of(Settings settings) {
		String name = CommonSettings.PROVIDER.get(settings);
		return find(name).orElseThrow(() -> CodedException.of(PROVIDER_UNKNOWN, name));
	}

	@Override
	public List<Setting<?>> keys() {
		return List.of();
	}

	@Override
	public void check(Settings settings, Findings findings) {
		String name = CommonSettings.PROVIDER.get(settings);
		if (find(name).isEmpty()) {
			findings.add(PROVIDER_UNKNOWN,
					settings.locate(CommonSettings.PROVIDER.section(), CommonSettings.PROVIDER.key()),
					"\"" + name + "\" is not registered", "write http");
		}
	}

	private static Optional<ExternalSystemsProvider> find(String name) {
		return Plugins.find(ExternalSystemsProvider.class, (one) -> one.name().equals(name));
	}

}
