package org.wisteriapost.kernel.settings;

import java.net.URI;
import java.util.List;

/**
 * Settings that all processes share.
 */
public final class CommonSettings implements SettingsSchema {

	public static final Setting<String> VM = Setting.text("process", "vm", "Name of this VM, as in the VM list.");

	public static final Setting<String> FAILURE_DOMAIN = Setting.text("process", "place",
			"Failure domain that this VM is in, for example dkr-hall-a.");

	public static final Setting<String> REGION = Setting
		.text("process", "region", "Region that the failure domain is in.")
		.orElse("default");

	public static final Setting<String> ADMIN_HOST = Setting
		.text("admin", "host", "IP number for /healthz, /readyz and /metrics.")
		.orElse("127.0.0.1");

	public static final Setting<Long> ADMIN_PORT = Setting
		.number("admin", "port", 0, 65535, "Port for /healthz, /readyz and /metrics; 0 chooses a free one.")
		.orElse("0");

	public static final Setting<String> PROVIDER = Setting
		.text("outside", "provider", "Name of the adapters for the outside systems.")
		.orElse("http");

	public static final Setting<URI> PLATFORM = Setting.address("outside", "platform",
			"Address of the platform's object API.");

	public static final Setting<URI> VM_LIST = Setting.address("outside", "vm-list", "Address of the VM list.");

	public static final Setting<URI> ORIGIN = Setting.address("outside", "origin", "Address of the origin of weights.");

	public static final Setting<Long> APPROVALS = Setting
		.number("operators", "approvals", 1, 16, "How many different operators must approve a bundle.")
		.orElse("2");

	public static final Setting<String> OPERATOR_KEY = Setting.text("operator NAME", "public-key",
			"Ed25519 public key of this operator, base64 of its X.509 form.");

	@Override
	public List<Setting<?>> keys() {
		return List.of(VM, FAILURE_DOMAIN, REGION, ADMIN_HOST, ADMIN_PORT, PROVIDER, PLATFORM, VM_LIST, ORIGIN,
				APPROVALS, OPERATOR_KEY);
	}

}
