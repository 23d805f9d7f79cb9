package org.wisteriapost.standin.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.agent.AgentEffect;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.agent.AgentIdentity;
import org.wisteriapost.policy.agent.AgentLimits;
import org.wisteriapost.policy.agent.AgentStateMachine;
import org.wisteriapost.policy.agent.AgentStatus;
import org.wisteriapost.policy.agent.LocalEngineStatus;
import org.wisteriapost.policy.agent.StoredObject;
import org.wisteriapost.policy.request.Priority;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.wire.BundleRequest;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Head;
import org.wisteriapost.protocol.wire.HeadRequest;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Leaving;
import org.wisteriapost.protocol.wire.Report;
import org.wisteriapost.protocol.wire.Role;

/**
 * The process of an agent beside its runner: the production state machine, with simulated
 * I/O in virtual time.
 */
final class SoakVm extends SoakProcess {

	private static final long LEAVING_GRACE_NANOS = 3 * VirtualTime.SECOND;

	private static final AgentLimits LIMITS = new AgentLimits(4, 8, Duration.ofSeconds(5), Duration.ofSeconds(10),
			Duration.ofSeconds(30), 0.25, Duration.ofSeconds(60));

	private final SoakFleet fleet;

	private final VirtualTime time;

	private final AgentIdentity identity;

	private final SoakRunner runner;

	private final LockstepLoop<AgentEvent> loop;

	private final AgentStateMachine stateMachine;

	private final Map<Long, SoakCall> calls = new LinkedHashMap<>();

	private final Map<SoakLink.LinkEnd, Boolean> helloReceived = new LinkedHashMap<>();

	private long lastCall;

	private long leavingSince = Long.MAX_VALUE;

	SoakVm(SoakFleet fleet, String name, String failureDomain, String service, boolean plain, SoakRunner runner) {
		super(name, failureDomain);
		this.fleet = fleet;
		this.time = fleet.time();
		this.runner = runner;
		this.identity = new AgentIdentity(name, failureDomain, service, plain,
				"nonce-" + this.time.random().nextLong());
		this.stateMachine = AgentStateMachine.create(this.identity, LIMITS, fleet.operators().keys(),
				fleet.invariants(), RandomSource.XO_RO_SHI_RO_128_PP.create(this.time.random().nextLong()));
		this.loop = LockstepLoop.start(name,
				(event) -> this.stateMachine.apply(event, this.time.nowNanos()).forEach(this::execute),
				fleet.invariants());
		tick();
	}

	AgentIdentity identity() {
		return this.identity;
	}

	SoakRunner runner() {
		return this.runner;
	}

	AgentStatus view() {
		return this.stateMachine.status();
	}

	@Override
	void end() {
		super.end();
		this.calls.keySet().forEach(this.runner::cancel);
		this.time.after(0, this.loop::close);
	}

	@Override
	void leave() {
		super.leave();
		// A paused process handles the signal when it resumes.
		step(() -> {
			this.leavingSince = this.time.nowNanos();
			this.loop.apply(new AgentEvent.LeaveRequested());
		});
	}

	/**
	 * Accepts a link that an entry has opened.
	 */
	void accept(SoakLink link) {
		SoakLink.LinkEnd linkEnd = link.acceptor();
		addLink(link);
		this.helloReceived.put(linkEnd, false);
		linkEnd.listen((frame) -> step(() -> frame(linkEnd, frame)), () -> step(() -> linkClosed(linkEnd)));
		linkEnd.send(
				frame()
					.setHello(Hello.newBuilder()
						.setVm(name())
						.setPlace(failureDomain())
						.setRole(Role.AGENT)
						.setService(this.identity.service())
						.setEpoch(view().epoch()))
					.build());
	}

	private void apply(AgentEvent event) {
		step(() -> this.loop.apply(event));
	}

	private void tick() {
		if (!alive()) {
			return;
		}
		apply(new AgentEvent.Tick());
		step(this::report);
		List<String> peers = this.fleet.peers(this);
		this.time.after(VirtualTime.SECOND, () -> apply(new AgentEvent.PeersRead(peers, false)));
		this.time.after(VirtualTime.SECOND, this::tick);
	}

	private Frame.Builder frame() {
		return Frame.newBuilder().setGeneration(view().headGeneration());
	}

	private void frame(SoakLink.LinkEnd linkEnd, Frame frame) {
		if (frame.getGeneration() > view().headGeneration() && !frame.hasHead()) {
			linkEnd.send(frame().setHeadRequest(HeadRequest.getDefaultInstance()).build());
		}
		switch (frame.getBodyCase()) {
			case HELLO -> {
				this.helloReceived.put(linkEnd, true);
				publishConnectedEntries();
				linkEnd.send(frame().setReport(currentReport()).build());
			}
			case HEAD -> head(frame.getHead());
			case BUNDLE_REPLY -> {
				Map<String, byte[]> signatures = new HashMap<>();
				frame.getBundleReply()
					.getApprovalsList()
					.forEach((one) -> signatures.put(one.getOperator(), one.getSignature().toByteArray()));
				apply(new AgentEvent.BundleReceived(frame.getBundleReply().getDigest(),
						frame.getBundleReply().getBundle().toByteArray(), signatures));
			}
			case CALL -> call(linkEnd, frame.getCall());
			case CALL_CANCEL -> this.calls.forEach((number, call) -> {
				if (call.matches(linkEnd, frame.getCallCancel().getId())) {
					this.time.after(0, () -> apply(new AgentEvent.CallCancelled(number)));
				}
			});
			default -> {
			}
		}
	}

	private void head(Head head) {
		apply(new AgentEvent.HeadReceived(head.getGeneration(), head.getDigest(), head.getConfirmed(),
				head.getConfirmedAgeMillis()));
	}

	private void call(SoakLink.LinkEnd linkEnd, Call call) {
		long number = ++this.lastCall;
		long deadline = this.time.nowNanos() + call.getRemainingMillis() * VirtualTime.MILLI;
		this.calls.put(number, new SoakCall(linkEnd, call, this));
		apply(new AgentEvent.CallArrived(number, Priority.NORMAL, call.getWeightsDigest(), this.time.nowNanos(),
				deadline));
	}

	private void linkClosed(SoakLink.LinkEnd linkEnd) {
		this.helloReceived.remove(linkEnd);
		publishConnectedEntries();
		this.calls.forEach((number, call) -> {
			if (call.linkEnd() == linkEnd) {
				this.time.after(0, () -> apply(new AgentEvent.CallCancelled(number)));
			}
		});
	}

	private void publishConnectedEntries() {
		apply(new AgentEvent.EntriesConnected(
				(int) this.helloReceived.values().stream().filter((hello) -> hello).count()));
	}

	private void report() {
		Frame frame = frame().setReport(currentReport()).build();
		this.helloReceived.forEach((linkEnd, hello) -> {
			if (hello) {
				linkEnd.send(frame);
			}
		});
	}

	private Report currentReport() {
		AgentStatus view = view();
		return Report.newBuilder()
			.setVm(name())
			.setPlace(failureDomain())
			.setService(this.identity.service())
			.setPlain(this.identity.plainService())
			.setAdmitting(view.admitting())
			.setLeaving(view.leaving())
			.setWeightsDigest(view.weightsDigest())
			.setBundleGeneration(view.bundleGeneration())
			.setRunning(view.runningCalls())
			.setCapacity(view.capacity())
			.setQueued(view.queuedCalls())
			.setEpoch(view.epoch())
			.build();
	}

	// Runs on the event loop's thread, so effects are scheduled: applying an event from
	// here
	// would deadlock the lockstep loop.
	private void execute(AgentEffect effect) {
		switch (effect) {
			case AgentEffect.ScheduleTick wake ->
				this.time.after(wake.delayNanos(), () -> apply(new AgentEvent.Tick()));
			case AgentEffect.ReadObject read -> read(read.key());
			case AgentEffect.WriteObject write -> write(write);
			case AgentEffect.FetchBundle bundle -> this.time.after(0, () -> fetchBundle(bundle.digest()));
			case AgentEffect.FetchWeights weights -> fetchWeights(weights);
			case AgentEffect.ReadEngine read -> this.time.afterNetworkDelay(() -> {
				LocalEngineStatus engine = this.runner.view();
				this.time.afterNetworkDelay(() -> apply(new AgentEvent.EngineStatusRead(engine)));
			});
			case AgentEffect.SendOrder order -> this.time.after(0, () -> step(() -> order(order)));
			case AgentEffect.StartCall start -> this.time.after(0, () -> step(() -> start(start.call())));
			case AgentEffect.RefuseCall refuse ->
				this.time.after(0, () -> Optional.ofNullable(this.calls.remove(refuse.call()))
					.ifPresent((call) -> call.refuse(refuse.code(), refuse.retryAfterMillis())));
			case AgentEffect.CancelCall cancel -> this.time.after(0, () -> this.runner.cancel(cancel.call()));
			case AgentEffect.SendReport report -> this.time.after(0, () -> step(this::report));
			case AgentEffect.AnnounceLeaving leaving -> this.time.after(0, () -> step(this::sendLeaving));
			case AgentEffect.DeleteWeights drop -> {
			}
			case AgentEffect.ThrottleTransfer slow -> {
			}
			case AgentEffect.Stop stop -> this.time.after(0, () -> stopped(stop.code()));
		}
	}

	private void sendLeaving() {
		Frame frame = frame().setLeaving(Leaving.newBuilder().setVm(name())).build();
		this.helloReceived.keySet().forEach((linkEnd) -> linkEnd.send(frame));
	}

	private void stopped(String code) {
		if (!alive()) {
			return;
		}
		if (code.isEmpty()) {
			this.fleet.invariants()
				.holds(this.calls.values().stream().noneMatch(SoakCall::running), "drain-cuts-nothing", name());
		}
		this.fleet.ledger().count("agentsStopped");
		end();
		this.fleet.agentEnded(this);
	}

	private void start(long number) {
		SoakCall call = this.calls.get(number);
		if (call == null) {
			apply(new AgentEvent.CallEnded(number));
			return;
		}
		this.fleet.invariants()
			.holds(this.time.nowNanos() - LEAVING_GRACE_NANOS < this.leavingSince, "no-new-work-when-leaving", name());
		call.markRunning();
		if (call.call().getBody().toStringUtf8().equals(SoakRunner.POISON)) {
			this.runner.runPoison(number, call.call().getRequestId(), call.listener(number));
			return;
		}
		boolean atMostOnce = call.call().getMethod().equals("POST");
		String key = atMostOnce ? call.call().getBody().toStringUtf8() : "";
		this.runner.run(number, call.call().getRequestId(), key, call.listener(number));
	}

	void answerStarted(long number) {
		apply(new AgentEvent.ResponseStarted(number));
	}

	void callEnded(long number, boolean wrongWeights) {
		this.calls.remove(number);
		if (wrongWeights) {
			apply(new AgentEvent.WrongWeightsDetected());
		}
		apply(new AgentEvent.CallEnded(number));
	}

	SoakLedger ledger() {
		return this.fleet.ledger();
	}

	private void order(AgentEffect.SendOrder order) {
		if (this.time.nowNanos() > order.notAfterNanos()) {
			apply(new AgentEvent.OrderLeaseExpired());
			return;
		}
		this.time.afterNetworkDelay(() -> {
			boolean accepted = this.runner.order(order);
			boolean confirmationLost = this.time.chance(0.05);
			AgentEvent answer = accepted ? new AgentEvent.OrderAccepted() : new AgentEvent.OrderFenced();
			this.time.afterNetworkDelay(() -> apply(confirmationLost ? new AgentEvent.OrderUnconfirmed() : answer));
		});
	}

	private void fetchWeights(AgentEffect.FetchWeights weights) {
		long delayNanos = this.time.randomBetween(VirtualTime.SECOND / 2, 5 * VirtualTime.SECOND);
		String digest = weights.weightsDigest();
		AgentEvent result = this.time.chance(0.05) ? new AgentEvent.WeightsFetchFailed(digest, "origin-unavailable")
				: new AgentEvent.WeightsFetched(digest);
		this.time.after(delayNanos, () -> apply(result));
	}

	private void fetchBundle(String digest) {
		List<SoakLink.LinkEnd> linkEnds = this.helloReceived.keySet().stream().toList();
		if (!linkEnds.isEmpty() && this.time.chance(0.7)) {
			linkEnds.getFirst().send(frame().setBundleRequest(BundleRequest.newBuilder().setDigest(digest)).build());
			this.time.after(VirtualTime.SECOND, () -> apply(new AgentEvent.BundleUnavailable(digest)));
			return;
		}
		Platform platform = this.fleet.platform();
		platform.get("bundles/" + digest)
			.thenCombine(platform.list("approvals/" + digest + "/"),
					(content, approvals) -> this.fleet.operators().bundleEvent(digest, content, approvals))
			.exceptionally((failure) -> new AgentEvent.BundleUnavailable(digest))
			.thenAccept(this::apply);
	}

	private void read(String key) {
		long sent = this.time.nowNanos();
		this.fleet.platform().get(key).whenComplete((stored, failure) -> {
			if (failure != null) {
				apply(new AgentEvent.ObjectReadFailed(key));
				return;
			}
			apply(new AgentEvent.ObjectRead(key, stored.map((one) -> new StoredObject(one.value(), one.version())),
					sent));
		});
	}

	private void write(AgentEffect.WriteObject write) {
		Platform.Precondition expected = expected(write.expectedVersion());
		this.fleet.platform().put(write.key(), write.value(), expected).whenComplete((result, failure) -> {
			if (failure instanceof CodedException) {
				apply(new AgentEvent.ObjectWriteUnconfirmed(write.key()));
				return;
			}
			apply(switch (result) {
				case Platform.PutResult.Written written -> new AgentEvent.ObjectWritten(write.key(), written.version());
				case Platform.PutResult.Conflict conflict -> new AgentEvent.ObjectWriteConflict(write.key());
			});
		});
	}

	private static Platform.Precondition expected(long version) {
		if (version == AgentEffect.WriteObject.ANY_VERSION) {
			return new Platform.Precondition.Anything();
		}
		if (version == AgentEffect.WriteObject.ABSENT) {
			return new Platform.Precondition.Absent();
		}
		return new Platform.Precondition.Version(version);
	}

}
