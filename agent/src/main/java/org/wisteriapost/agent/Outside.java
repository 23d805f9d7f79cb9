package org.wisteriapost.agent;

import java.net.URI;

import org.wisteriapost.kernel.settings.CommonSettings;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.outside.Engine;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.OutsideProvider;
import org.wisteriapost.protocol.outside.OutsideProviders;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.outside.WeightStore;

/**
 * The outside systems that an agent works with.
 *
 * @param caller for calls to the runner and the adapters
 * @param platform the object API
 * @param vmList the VM list
 * @param origin the origin of weights
 * @param store the VM's weight store
 * @param engine orders and state of the engine; not used for a plain service
 */
record Outside(HttpCaller caller, Platform platform, VmList vmList, Origin origin, WeightStore store,
		Engine engine) implements AutoCloseable {

	private static final int IO_THREADS = 2;

	static Outside of(Settings settings) {
		OutsideProvider provider = OutsideProviders.of(settings);
		HttpCaller caller = HttpCaller.create(IO_THREADS);
		URI runner = AgentSettings.RUNNER.get(settings);
		URI store = AgentSettings.WEIGHT_STORE.get(settings).orElse(runner);
		return new Outside(caller, provider.platform(caller, CommonSettings.PLATFORM.get(settings)),
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
