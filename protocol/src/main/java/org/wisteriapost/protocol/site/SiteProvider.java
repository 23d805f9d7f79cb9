package org.wisteriapost.protocol.site;

import java.nio.file.Path;
import java.util.ServiceLoader;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.WeightStore;

/**
 * Creates the adapters of a site. Implementations are found by {@link ServiceLoader}.
 */
public interface SiteProvider {

	/** No adapter is on the class path. */
	Code MISSING = Code.error("site-missing", "No site adapter is part of this program.");

	/** The environment variable of the settings file is not set. */
	Code SETTINGS_UNNAMED = Code.error("site-settings-unnamed",
			"The environment does not name the site's settings file.");

	/**
	 * Returns the environment variable that names the settings file.
	 */
	String settingsVariable();

	/**
	 * Reads and validates a settings file; throws with all findings.
	 */
	SiteSettings settings(Path file);

	/**
	 * Reads the settings file that the environment variable names.
	 */
	default SiteSettings settings() {
		String file = System.getenv(settingsVariable());
		if (file == null) {
			throw CodedException.of(SETTINGS_UNNAMED, settingsVariable());
		}
		return settings(Path.of(file));
	}

	/** Returns the site's object store. */
	ObjectStore store(PooledHttpClient caller, SiteSettings settings);

	/** Returns the site's HTTP headers and paths. */
	CallProtocol callProtocol();

	/** Returns the engine on this process's VM. */
	EngineControl engine(PooledHttpClient caller, String address);

	/** Returns the store on the engine's VM for staged weights of a model. */
	WeightStore staging(PooledHttpClient caller, String address, String model);

	/** Returns the origin of weights. */
	Origin origin(PooledHttpClient caller, String address);

	/**
	 * Returns the site's adapter.
	 */
	static SiteProvider load() {
		return ServiceLoader.load(SiteProvider.class)
			.findFirst()
			.orElseThrow(() -> CodedException.of(MISSING, "no provider is registered"));
	}

}
