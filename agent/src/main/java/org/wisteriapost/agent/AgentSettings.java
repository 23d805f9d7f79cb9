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
 * Settings of the section {@code [agent]}.
 */
public final class AgentSettings implements SettingsSchema {

	private static final String SECTION = "agent";

	/** Service of the runner. */
	public static final Setting<String> SERVICE = Setting.text(SECTION, "service",
			"Service that this VM's runner serves, as bundles name it.");

	/** Whether the runner is a plain service, without weights. */
	public static final Setting<Boolean> PLAIN_SERVICE = new Setting<>(SECTION, "kind", "model or plain",
			(value) -> switch (value) {
				case "model" -> false;
				case "plain" -> true;
				default -> throw new IllegalArgumentException("neither model nor plain");
			}, Optional.of("model"), "Whether the runner is a model engine or a plain service without weights.");

	/** IP address of the link server. */
	public static final Setting<String> LINK_HOST = Setting.text(SECTION, "link-host",
			"IP number at which entries and other agents connect.");

	/** Port of the link server. */
	public static final Setting<Long> LINK_PORT = Setting
		.number(SECTION, "link-port", 0, 65535, "Port at which entries and other agents connect; 0 chooses a free one.")
		.orElse("0");

	/** Address of the runner. */
	public static final Setting<URI> RUNNER = Setting.address(SECTION, "runner",
			"Address of the model engine or plain service.");

	/** Address of the weight store, empty if the runner is the store. */
	public static final Setting<Optional<URI>> WEIGHT_STORE = new Setting<>(SECTION, "weight-store",
			"http://IP:PORT, or runner",
			(value) -> "runner".equals(value) ? Optional.empty() : Optional.of(RUNNER.parser().apply(value)),
			Optional.of("runner"), "Address of the VM's weight store; the runner's own when not given.");

	/** Concurrent calls at a runner that reports no capacity. */
	public static final Setting<Long> DEFAULT_CAPACITY = Setting
		.number(SECTION, "capacity", 1, 100_000, "Calls at once at a plain runner, or at an engine that states none.")
		.orElse("16");

	/** Calls that may wait for the runner. */
	public static final Setting<Long> MAX_QUEUED_CALLS = Setting
		.number(SECTION, "queue", 0, 10_000, "Calls that may wait at the gate when the runner is full.")
		.orElse("0");

	/** Longest duration of a call at the runner. */
	public static final Setting<Duration> CALL_TIMEOUT = Setting
		.millis(SECTION, "max-call-millis", 100, 86_400_000, "Longest time that a call may take at the runner.")
		.orElse("600000");

	/** Duration of the lease that permits orders to the engine. */
	public static final Setting<Duration> LEASE_DURATION = Setting
		.millis(SECTION, "lease-millis", 500, 60_000,
				"How long a look at the VM's epoch in the platform allows an order to the engine.")
		.orElse("5000");

	/** Staleness up to which a starting agent uses the head. */
	public static final Setting<Duration> MAX_HEAD_STALENESS = Setting
		.millis(SECTION, "fresh-millis", 500, 60_000,
				"How old the platform's word on the head may be when a starting agent first relies on it.")
		.orElse("10000");

	/** Time without a heartbeat after which a VM loses its switching slot. */
	public static final Setting<Duration> SLOT_EXPIRY = Setting
		.millis(SECTION, "slot-expiry-millis", 1000, 600_000,
				"After how long without a sign a VM that switches counts as lost.")
		.orElse("30000");

	/** Largest share of a service's runners that switch weights concurrently. */
	public static final Setting<Double> MAX_SWITCHING_SHARE = Setting
		.fraction(SECTION, "switching-share", 0.01, 1,
				"Largest share of a place's runners of the service that switch weights at once.")
		.orElse("0.25");

	/** Longest wait for running calls during a drain. */
	public static final Setting<Duration> DRAIN_TIMEOUT = Setting
		.millis(SECTION, "drain-millis", 0, 86_400_000,
				"Longest wait for running calls when this VM leaves; what runs then is cut.")
		.orElse("600000");

	/** Interval between reads of the VM list. */
	public static final Setting<Duration> VM_LIST_INTERVAL = Setting
		.millis(SECTION, "vm-list-millis", 1000, 60_000, "How often the VM list is read.")
		.orElse("2000");

	/** Required settings, reported as missing even if their whole section is. */
	private static final List<Setting<?>> REQUIRED = List.of(CommonSettings.VM, CommonSettings.FAILURE_DOMAIN,
			CommonSettings.PLATFORM, CommonSettings.VM_LIST, CommonSettings.ORIGIN, SERVICE, LINK_HOST, RUNNER);

	@Override
	public List<Setting<?>> keys() {
		return List.of(SERVICE, PLAIN_SERVICE, LINK_HOST, LINK_PORT, RUNNER, WEIGHT_STORE, DEFAULT_CAPACITY,
				MAX_QUEUED_CALLS, CALL_TIMEOUT, LEASE_DURATION, MAX_HEAD_STALENESS, SLOT_EXPIRY, MAX_SWITCHING_SHARE,
				DRAIN_TIMEOUT, VM_LIST_INTERVAL);
	}

	@Override
	public void check(Settings settings, Findings findings) {
		if (!settings.sections().contains(SECTION)) {
			return;
		}
		REQUIRED.stream()
			.filter((setting) -> !settings.sections().contains(setting.section()))
			.forEach((setting) -> setting.read(settings, findings));
	}

	/**
	 * Throws an exception with all findings if the settings are not valid for an agent.
	 */
	static void validate(Settings settings) {
		Findings findings = SettingsCheck.run(settings);
		if (!settings.sections().contains(SECTION)) {
			SERVICE.read(settings, findings);
		}
		findings.throwIfAny();
	}

	static AgentIdentity identity(Settings settings, String nonce) {
		return new AgentIdentity(CommonSettings.VM.get(settings), CommonSettings.FAILURE_DOMAIN.get(settings),
				SERVICE.get(settings), PLAIN_SERVICE.get(settings), nonce);
	}

	static AgentLimits limits(Settings settings) {
		return new AgentLimits(DEFAULT_CAPACITY.get(settings).intValue(), MAX_QUEUED_CALLS.get(settings).intValue(),
				LEASE_DURATION.get(settings), MAX_HEAD_STALENESS.get(settings), SLOT_EXPIRY.get(settings),
				MAX_SWITCHING_SHARE.get(settings), DRAIN_TIMEOUT.get(settings));
	}

	static ApprovalPolicy approvalPolicy(Settings settings) {
		Map<String, String> keys = settings.sectionsOfKind("operator")
			.stream()
			.collect(Collectors.toMap((name) -> name,
					(name) -> CommonSettings.OPERATOR_KEY.get(settings, "operator " + name)));
		return new ApprovalPolicy(keys, CommonSettings.APPROVALS.get(settings).intValue());
	}

	static String transferPolicy(Settings settings) {
		return TransferSettings.POLICY.get(settings);
	}

}
