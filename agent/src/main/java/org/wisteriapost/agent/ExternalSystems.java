package org.wisteriapost.agent;

import java.net.URI;

import org.wisteriapost.kernel.settings.CommonSettings;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Engine;
import org.wisteriapost.protocol.outside.ExternalSystemsProvider;
import org.wisteriapost.protocol.outside.ExternalSystemsProviders;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.outside.WeightStore;

/**
 * Clients of the external systems that an agent uses.
 *
 * @param caller the HTTP client for the runner and the other clients
 * @param platform the object store of the platform
 * @param vmList the VM list
 * @param origin the origin of weights
 * @param store the VM's weight store
 * @param engine the engine's orders and state; not used for a plain service
 */
record ExternalSystems(PooledHttpClient caller, Platform platform, VmList vmList, Origin origin, WeightStore store,
		Engine engine) implements AutoCloseable {

	private static final int IO_THREADS = 2;

	static ExternalSystems of(Settings settings) {
		ExternalSystemsProvider provider = ExternalSystemsProviders.of(settings);
		PooledHttpClient caller = PooledHttpClient.create(IO_THREADS);
		URI runner = AgentSettings.RUNNER.get(settings);
		URI store = AgentSettings.WEIGHT_STORE.get(settings).orElse(runner);
		return new ExternalSystems(caller, provider.platform(caller, CommonSettings.PLATFORM.get(settings)),
				provider.vmList(caller, CommonSettings.VM_LIST.get(settings)),
				provider.origin(caller, CommonSettings.ORIGIN.get(settings)), provider.weightStore(caller, store),
				provider.engine(caller, runner));
	}

	@Override
	public void close() {
		this.platform.close();
		this.vmList.close();
		this.origin.close();
		this.store.close();
		this.engine.close();
		this.caller.close();
	}

}
