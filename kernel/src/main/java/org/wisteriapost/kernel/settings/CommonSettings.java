package org.wisteriapost.kernel.settings;

import java.net.URI;
import java.util.List;

/**
 * Keys that every process reads.
 */
public final class CommonSettings implements SettingsSchema {

	/** The VM's name. */
	public static final Setting<String> VM = Setting.text("process", "vm", "Name of this VM, as in the VM list.");

	/** The failure domain. */
	public static final Setting<String> PLACE = Setting.text("process", "place",
			"Failure domain that this VM is in, for example dkr-hall-a.");

	/** The region. */
	public static final Setting<String> REGION = Setting
		.text("process", "region", "Region that the failure domain is in.")
		.orElse("default");

	/** Where /healthz, /readyz and /metrics are. */
	public static final Setting<String> ADMIN_HOST = Setting
		.text("admin", "host", "IP number for /healthz, /readyz and /metrics.")
		.orElse("127.0.0.1");

	/** The port of the admin address. */
	public static final Setting<Long> ADMIN_PORT = Setting
		.number("admin", "port", 0, 65535, "Port for /healthz, /readyz and /metrics; 0 chooses a free one.")
		.orElse("0");

	/** Which adapters to use. */
	public static final Setting<String> PROVIDER = Setting
		.text("outside", "provider", "Name of the adapters for the outside systems.")
		.orElse("http");

	/** The platform. */
	public static final Setting<URI> PLATFORM = Setting.address("outside", "platform",
			"Address of the platform's object API.");

	/** The VM list. */
	public static final Setting<URI> VM_LIST = Setting.address("outside", "vm-list", "Address of the VM list.");

	/** The origin. */
	public static final Setting<URI> ORIGIN = Setting.address("outside", "origin", "Address of the origin of weights.");

	/** How many operators must sign. */
	public static final Setting<Long> APPROVALS = Setting
		.number("operators", "approvals", 1, 16, "How many different operators must approve a bundle.")
		.orElse("2");

	/** One operator's public key. */
	public static final Setting<String> OPERATOR_KEY = Setting.text("operator NAME", "public-key",
			"Ed25519 public key of this operator, base64 of its X.509 form.");

	@Override
	public List<Setting<?>> keys() {
		return List.of(VM, PLACE, REGION, ADMIN_HOST, ADMIN_PORT, PROVIDER, PLATFORM, VM_LIST, ORIGIN, APPROVALS,
				OPERATOR_KEY);
	}

}
