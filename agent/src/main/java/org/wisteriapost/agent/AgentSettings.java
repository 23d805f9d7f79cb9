package org.wisteriapost.agent;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.wisteriapost.agent.transfer.TransferSettings;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.settings.CommonSettings;
import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.kernel.settings.SettingsCheck;
import org.wisteriapost.kernel.settings.SettingsSchema;
import org.wisteriapost.policy.agent.AgentIdentity;
import org.wisteriapost.policy.agent.AgentLimits;
import org.wisteriapost.policy.agent.ApprovalPolicy;

/**
 * Keys of {@code [agent]}.
 */
public final class AgentSettings implements SettingsSchema {

	private static final String SECTION = "agent";

	/** What the runner serves. */
	public static final Setting<String> SERVICE = Setting.text(SECTION, "service",
			"Service that this VM's runner serves, as bundles name it.");

	/** Whether the runner has weights. */
	public static final Setting<Boolean> PLAIN = new Setting<>(SECTION, "kind", "model or plain",
			(value) -> switch (value) {
				case "model" -> false;
				case "plain" -> true;
				default -> throw new IllegalArgumentException("neither");
			}, Optional.of("model"), "Whether the runner is a model engine or a plain service without weights.");

	/** Where entries and peers connect. */
	public static final Setting<String> LINK_HOST = Setting.text(SECTION, "link-host",
			"IP number at which entries and other agents connect.");

	/** The port of the link address. */
	public static final Setting<Long> LINK_PORT = Setting
		.number(SECTION, "link-port", 0, 65535, "Port at which entries and other agents connect; 0 chooses a free one.")
		.orElse("0");

	/** The runner. */
	public static final Setting<URI> RUNNER = Setting.address(SECTION, "runner",
			"Address of the model engine or plain service.");

	/** The weight store. */
	public static final Setting<Optional<URI>> WEIGHT_STORE = new Setting<>(SECTION, "weight-store",
			"http://IP:PORT, or runner",
			(value) -> "runner".equals(value) ? Optional.empty() : Optional.of(RUNNER.parser().apply(value)),
			Optional.of("runner"), "Address of the VM's weight store; the runner's own when not given.");

	/** Calls at once. */
	public static final Setting<Long> CAPACITY = Setting
		.number(SECTION, "capacity", 1, 100_000, "Calls at once at a plain runner, or at an engine that states none.")
		.orElse("16");

	/** Calls that wait. */
	public static final Setting<Long> QUEUE = Setting
		.number(SECTION, "queue", 0, 10_000, "Calls that may wait at the gate when the runner is full.")
		.orElse("0");

	/** The longest call. */
	public static final Setting<Duration> MAX_CALL = Setting
		.millis(SECTION, "max-call-millis", 100, 86_400_000, "Longest time that a call may take at the runner.")
		.orElse("600000");

	/** The lease. */
	public static final Setting<Duration> LEASE = Setting
		.millis(SECTION, "lease-millis", 500, 60_000,
				"How long a look at the VM's epoch in the platform allows an order to the engine.")
		.orElse("5000");

	/** The age of a head that is relied on. */
	public static final Setting<Duration> FRESH = Setting
		.millis(SECTION, "fresh-millis", 500, 60_000,
				"How old the platform's word on the head may be when a starting agent first relies on it.")
		.orElse("10000");

	/** When a silent VM no longer counts as switching. */
	public static final Setting<Duration> SLOT_EXPIRY = Setting
		.millis(SECTION, "slot-expiry-millis", 1000, 600_000,
				"After how long without a sign a VM that switches counts as lost.")
		.orElse("30000");

	/** How many switch at once. */
	public static final Setting<Double> SWITCHING_SHARE = Setting
		.fraction(SECTION, "switching-share", 0.01, 1,
				"Largest share of a place's runners of the service that switch weights at once.")
		.orElse("0.25");

	/** The longest drain. */
	public static final Setting<Duration> DRAIN = Setting
		.millis(SECTION, "drain-millis", 0, 86_400_000,
				"Longest wait for running calls when this VM leaves; what runs then is cut.")
		.orElse("600000");

	/** How often the VM list is read. */
	public static final Setting<Duration> VM_LIST_PERIOD = Setting
		.millis(SECTION, "vm-list-millis", 1000, 60_000, "How often the VM list is read.")
		.orElse("2000");

	/** Sections without which an agent cannot start. */
	private static final List<Setting<?>> NEEDED = List.of(CommonSettings.VM, CommonSettings.PLACE,
			CommonSettings.PLATFORM, CommonSettings.VM_LIST, CommonSettings.ORIGIN, SERVICE, LINK_HOST, RUNNER);

	@Override
	public List<Setting<?>> keys() {
		return List.of(SERVICE, PLAIN, LINK_HOST, LINK_PORT, RUNNER, WEIGHT_STORE, CAPACITY, QUEUE, MAX_CALL, LEASE,
				FRESH, SLOT_EXPIRY, SWITCHING_SHARE, DRAIN, VM_LIST_PERIOD);
	}

	@Override
	public void check(Settings settings, Findings findings) {
		if (!settings.sections().contains(SECTION)) {
			return;
		}
		NEEDED.stream()
			.filter((setting) -> !settings.sections().contains(setting.section()))
			.forEach((setting) -> setting.read(settings, findings));
	}

	/**
	 * Throws one failure with all findings of an agent's file, unless there is none.
	 */
	static void checkWhole(Settings settings) {
		Findings findings = SettingsCheck.run(settings);
		if (!settings.sections().contains(SECTION)) {
			SERVICE.read(settings, findings);
		}
		findings.throwIfAny();
	}

	static AgentIdentity identity(Settings settings, String nonce) {
		return new AgentIdentity(CommonSettings.VM.get(settings), CommonSettings.PLACE.get(settings),
				SERVICE.get(settings), PLAIN.get(settings), nonce);
	}

	static AgentLimits limits(Settings settings) {
		return new AgentLimits(CAPACITY.get(settings).intValue(), QUEUE.get(settings).intValue(), LEASE.get(settings),
				FRESH.get(settings), SLOT_EXPIRY.get(settings), SWITCHING_SHARE.get(settings), DRAIN.get(settings));
	}

	static ApprovalPolicy operators(Settings settings) {
		Map<String, String> keys = settings.named("operator")
			.stream()
			.collect(Collectors.toMap((name) -> name,
					(name) -> CommonSettings.OPERATOR_KEY.get(settings, "operator " + name)));
		return new ApprovalPolicy(keys, CommonSettings.APPROVALS.get(settings).intValue());
	}

	static String transferPolicy(Settings settings) {
		return TransferSettings.POLICY.get(settings);
	}

}
