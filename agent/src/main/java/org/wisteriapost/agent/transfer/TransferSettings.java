package org.wisteriapost.agent.transfer;

import java.util.List;

import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.SettingsSchema;

/**
 * Keys of {@code [transfer]}.
 */
public final class TransferSettings implements SettingsSchema {

	/** Which transfer to use. */
	public static final Setting<String> POLICY = Setting
		.text("transfer", "policy", "Name of the policy that brings weights to this VM.")
		.orElse("naive");

	@Override
	public List<Setting<?>> keys() {
		return List.of(POLICY);
	}

}
