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
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.ExternalSystemsProvider;
import org.wisteriapost.protocol.outside.ExternalSystemsProviders;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.VmList;

/**
 * Clients of the external systems that a settings file configures.
 */
public final class ExternalSystems implements AutoCloseable {

	private final Settings settings;

	private final PooledHttpClient httpCaller;

	private final ExternalSystemsProvider provider;

	private ExternalSystems(Settings settings, PooledHttpClient caller, ExternalSystemsProvider provider) {
		this.settings = settings;
		this.httpCaller = caller;
		this.provider = provider;
	}

	/**
	 * Validates a settings file and returns the clients that it configures.
	 */
	public static ExternalSystems of(Path file) {
		Settings settings = Settings.read(file);
		SettingsCheck.run(settings).throwIfAny();
		return new ExternalSystems(settings, PooledHttpClient.create(1), ExternalSystemsProviders.of(settings));
	}

	public Settings settings() {
		return this.settings;
	}

	public Platform platform() {
		return this.provider.platform(this.httpCaller, address(CommonSettings.PLATFORM));
	}

	public Origin origin() {
		return this.provider.origin(this.httpCaller, address(CommonSettings.ORIGIN));
	}

	public VmList vmList() {
		return this.provider.vmList(this.httpCaller, address(CommonSettings.VM_LIST));
	}

	/**
	 * Returns the public key of each configured operator by name.
	 */
	public Map<String, String> operatorKeys() {
		Map<String, String> keys = new LinkedHashMap<>();
		this.settings.sectionsOfKind("operator")
			.forEach((name) -> keys.put(name, CommonSettings.OPERATOR_KEY.get(this.settings, "operator " + name)));
		return keys;
	}

	/**
	 * Returns the number of operators who must approve a bundle.
	 */
	public int requiredApprovals() {
		return CommonSettings.APPROVALS.get(this.settings).intValue();
	}

	/**
	 * Waits for a call and returns its result; throws the {@link CodedException} it
	 * failed with.
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
		this.httpCaller.close();
	}

	private URI address(Setting<URI> setting) {
		return setting.get(this.settings);
	}

}
