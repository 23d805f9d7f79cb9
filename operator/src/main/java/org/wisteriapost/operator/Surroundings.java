package org.wisteriapost.operator;

import java.net.URI;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.settings.CommonSettings;
import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.kernel.settings.SettingsCheck;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.OutsideProvider;
import org.wisteriapost.protocol.outside.OutsideProviders;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.VmList;

/**
 * The outside systems as an operator's settings name them.
 */
public final class Surroundings implements AutoCloseable {

	private final Settings settings;

	private final HttpCaller caller;

	private final OutsideProvider provider;

	private Surroundings(Settings settings, HttpCaller caller, OutsideProvider provider) {
		this.settings = settings;
		this.caller = caller;
		this.provider = provider;
	}

	/**
	 * Returns the surroundings of a settings file after checking it whole.
	 */
	public static Surroundings of(Path file) {
		Settings settings = Settings.read(file);
		SettingsCheck.run(settings).throwIfAny();
		return new Surroundings(settings, HttpCaller.create(1), OutsideProviders.of(settings));
	}

	/**
	 * Returns the settings, checked.
	 */
	public Settings settings() {
		return this.settings;
	}

	/**
	 * Returns the platform.
	 */
	public Platform platform() {
		return this.provider.platform(this.caller, address(CommonSettings.PLATFORM));
	}

	/**
	 * Returns the origin.
	 */
	public Origin origin() {
		return this.provider.origin(this.caller, address(CommonSettings.ORIGIN));
	}

	/**
	 * Returns the VM list.
	 */
	public VmList vmList() {
		return this.provider.vmList(this.caller, address(CommonSettings.VM_LIST));
	}

	/**
	 * Returns the configured operators' public keys by name.
	 */
	public Map<String, String> operatorKeys() {
		Map<String, String> keys = new LinkedHashMap<>();
		this.settings.named("operator")
			.forEach((name) -> keys.put(name, CommonSettings.OPERATOR_KEY.get(this.settings, "operator " + name)));
		return keys;
	}

	/**
	 * Returns how many operators must approve.
	 */
	public int approvals() {
		return CommonSettings.APPROVALS.get(this.settings).intValue();
	}

	/**
	 * Returns a call's result, or throws its coded failure.
	 */
	public static <T> T await(CompletableFuture<T> future) {
		try {
			return future.join();
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof CodedException coded) {
				throw coded;
			}
			throw ex;
		}
	}

	@Override
	public void close() {
		this.caller.close();
	}

	private URI address(Setting<URI> setting) {
		return setting.get(this.settings);
	}

}
