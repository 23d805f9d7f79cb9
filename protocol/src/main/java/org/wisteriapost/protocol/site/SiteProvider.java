package org.wisteriapost.protocol.site;

import java.nio.file.Path;
import java.util.ServiceLoader;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.WeightStore;

/**
 * Makes the adapters of one site; registers with the service loader.
 */
public interface SiteProvider {

	/** No adapter is on the class path. */
	Code MISSING = Code.error("site-missing", "No site adapter is part of this program.");

	/** The environment does not name the settings. */
	Code SETTINGS_UNNAMED = Code.error("site-settings-unnamed",
			"The environment does not name the site's settings file.");

	/**
	 * Returns the environment variable that names the settings file.
	 */
	String settingsVariable();

	/**
	 * Returns the settings of a file, checked whole; throws with all findings.
	 */
	SiteSettings settings(Path file);

	/**
	 * Returns the settings that the environment names, as they are now.
	 */
	default SiteSettings settings() {
		String file = System.getenv(settingsVariable());
		if (file == null) {
			throw CodedException.of(SETTINGS_UNNAMED, settingsVariable());
		}
		return settings(Path.of(file));
	}

	/** Returns the store. */
	ObjectStore store(HttpCaller caller, SiteSettings settings);

	/** Returns how requests and answers are written. */
	CallDialect dialect();

	/** Returns the engine beside this process. */
	EngineControl engine(HttpCaller caller, String address);

	/** Returns the engine's memory for staged weights of one model. */
	WeightStore staging(HttpCaller caller, String address, String model);

	/** Returns the origin of weights. */
	Origin origin(HttpCaller caller, String address);

	/**
	 * Returns the site's adapter.
	 */
	static SiteProvider load() {
		return ServiceLoader.load(SiteProvider.class)
			.findFirst()
			.orElseThrow(() -> CodedException.of(MISSING, "no provider is registered"));
	}

}
