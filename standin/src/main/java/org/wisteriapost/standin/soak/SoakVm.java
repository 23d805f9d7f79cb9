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
 * One agent's process beside its runner: the real decisions, with the I/O around them in
 * virtual time.
 */
final class SoakVm extends SoakProcess {

	private static final long LEAVING_GRACE_NANOS = 3 * VirtualTime.SECOND;

	private static final AgentLimits LIMITS = new AgentLimits(4, 8, Duration.ofSeconds(5), Duration.ofSeconds(10),
			Duration.ofSeconds(30), 0.25, Duration.ofSeconds(60));

	private final SoakWorld world;

	private final VirtualTime time;

	private final AgentIdentity self;

	private final SoakRunner runner;

	private final LockstepLoop<AgentEvent> loop;

	private final AgentStateMachine machine;

	private final Map<Long, SoakCall> calls = new LinkedHashMap<>();

	private final Map<SoakLink.Side, Boolean> entries = new LinkedHashMap<>();

	private long lastCall;

	private long leavingSince = Long.MAX_VALUE;

	SoakVm(SoakWorld world, String name, String place, String service, boolean plain, SoakRunner runner) {
		super(name, place);
		this.world = world;
		this.time = world.time();
		this.runner = runner;
		this.self = new AgentIdentity(name, place, service, plain, "nonce-" + this.time.random().nextLong());
		this.machine = AgentStateMachine.create(this.self, LIMITS, world.operators().keys(), world.invariants(),
				RandomSource.XO_RO_SHI_RO_128_PP.create(this.time.random().nextLong()));
		this.loop = LockstepLoop.start(name,
				(event) -> this.machine.apply(event, this.time.now()).forEach(this::carryOut), world.invariants());
		tick();
	}

	AgentIdentity self() {
		return this.self;
	}

	SoakRunner runner() {
		return this.runner;
	}

	AgentStatus view() {
		return this.machine.status();
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
		// A frozen process hears its signal when it goes on.
		step(() -> {
			this.leavingSince = this.time.now();
			this.loop.apply(new AgentEvent.LeaveRequested());
		});
	}

	/**
	 * Takes a link that an entry has made.
	 */
	void accept(SoakLink link) {
		SoakLink.Side side = link.two();
		linked(link);
		this.entries.put(side, false);
		side.hears((frame) -> step(() -> frame(side, frame)), () -> step(() -> closed(side)));
		side.send(frame()
			.setHello(Hello.newBuilder()
				.setVm(name())
				.setPlace(place())
				.setRole(Role.AGENT)
				.setService(this.self.service())
				.setEpoch(view().epoch()))
			.build());
	}

	private void hear(AgentEvent event) {
		step(() -> this.loop.apply(event));
	}

	private void tick() {
		if (!alive()) {
			return;
		}
		hear(new AgentEvent.Tick());
		step(this::report);
		List<String> peers = this.world.peers(this);
		this.time.after(VirtualTime.SECOND, () -> hear(new AgentEvent.PeersRead(peers, false)));
		this.time.after(VirtualTime.SECOND, this::tick);
	}

	private Frame.Builder frame() {
		return Frame.newBuilder().setGeneration(view().headGeneration());
	}

	private void frame(SoakLink.Side side, Frame frame) {
		if (frame.getGeneration() > view().headGeneration() && !frame.hasHead()) {
			side.send(frame().setHeadRequest(HeadRequest.getDefaultInstance()).build());
		}
		switch (frame.getBodyCase()) {
			case HELLO -> {
				this.entries.put(side, true);
				connected();
				side.send(frame().setReport(currentReport()).build());
			}
			case HEAD -> head(frame.getHead());
			case BUNDLE_REPLY -> {
				Map<String, byte[]> signatures = new HashMap<>();
				frame.getBundleReply()
					.getApprovalsList()
					.forEach((one) -> signatures.put(one.getOperator(), one.getSignature().toByteArray()));
				hear(new AgentEvent.BundleReceived(frame.getBundleReply().getDigest(),
						frame.getBundleReply().getBundle().toByteArray(), signatures));
			}
			case CALL -> call(side, frame.getCall());
			case CALL_CANCEL -> this.calls.forEach((number, call) -> {
				if (call.is(side, frame.getCallCancel().getId())) {
					this.time.after(0, () -> hear(new AgentEvent.CallCancelled(number)));
				}
			});
			default -> {
			}
		}
	}

	private void head(Head head) {
		hear(new AgentEvent.HeadReceived(head.getGeneration(), head.getDigest(), head.getConfirmed(),
				head.getConfirmedAgeMillis()));
	}

	private void call(SoakLink.Side side, Call call) {
		long number = ++this.lastCall;
		long deadline = this.time.now() + call.getRemainingMillis() * VirtualTime.MILLI;
		this.calls.put(number, new SoakCall(side, call, this));
		hear(new AgentEvent.CallArrived(number, Priority.NORMAL, call.getWeightsDigest(), this.time.now(), deadline));
	}

	private void closed(SoakLink.Side side) {
		this.entries.remove(side);
		connected();
		this.calls.forEach((number, call) -> {
			if (call.side() == side) {
				this.time.after(0, () -> hear(new AgentEvent.CallCancelled(number)));
			}
		});
	}

	private void connected() {
		hear(new AgentEvent.EntriesConnected((int) this.entries.values().stream().filter((hello) -> hello).count()));
	}

	private void report() {
		Frame frame = frame().setReport(currentReport()).build();
		this.entries.forEach((side, hello) -> {
			if (hello) {
				side.send(frame);
			}
		});
	}

	private Report currentReport() {
		AgentStatus view = view();
		return Report.newBuilder()
			.setVm(name())
			.setPlace(place())
			.setService(this.self.service())
			.setPlain(this.self.plainService())
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

	// Runs on the loop's thread: what goes out is scheduled, never applied in place.
	private void carryOut(AgentEffect effect) {
		switch (effect) {
			case AgentEffect.ScheduleTick wake -> this.time.after(wake.delayNanos(), () -> hear(new AgentEvent.Tick()));
			case AgentEffect.ReadObject read -> read(read.key());
			case AgentEffect.WriteObject write -> write(write);
			case AgentEffect.FetchBundle bundle -> this.time.after(0, () -> fetchBundle(bundle.digest()));
			case AgentEffect.FetchWeights weights -> fetchWeights(weights);
			case AgentEffect.ReadEngine read -> this.time.soon(() -> {
				LocalEngineStatus seen = this.runner.view();
				this.time.soon(() -> hear(new AgentEvent.EngineStatusRead(seen)));
			});
			case AgentEffect.SendOrder order -> this.time.after(0, () -> step(() -> order(order)));
			case AgentEffect.StartCall start -> this.time.after(0, () -> step(() -> start(start.call())));
			case AgentEffect.RefuseCall refuse ->
				this.time.after(0, () -> Optional.ofNullable(this.calls.remove(refuse.call()))
					.ifPresent((call) -> call.refused(refuse.code(), refuse.retryAfterMillis())));
			case AgentEffect.CancelCall cancel -> this.time.after(0, () -> this.runner.cancel(cancel.call()));
			case AgentEffect.SendReport report -> this.time.after(0, () -> step(this::report));
			case AgentEffect.AnnounceLeaving leaving -> this.time.after(0, () -> step(this::sayLeaving));
			case AgentEffect.DeleteWeights drop -> {
			}
			case AgentEffect.ThrottleTransfer slow -> {
			}
			case AgentEffect.Stop stop -> this.time.after(0, () -> stopped(stop.code()));
		}
	}

	private void sayLeaving() {
		Frame frame = frame().setLeaving(Leaving.newBuilder().setVm(name())).build();
		this.entries.keySet().forEach((side) -> side.send(frame));
	}

	private void stopped(String code) {
		if (!alive()) {
			return;
		}
		if (code.isEmpty()) {
			this.world.invariants()
				.holds(this.calls.values().stream().noneMatch(SoakCall::running), "drain-cuts-nothing", name());
		}
		this.world.ledger().count("agentsStopped");
		end();
		this.world.agentEnded(this);
	}

	private void start(long number) {
		SoakCall call = this.calls.get(number);
		if (call == null) {
			hear(new AgentEvent.CallEnded(number));
			return;
		}
		this.world.invariants()
			.holds(this.time.now() - LEAVING_GRACE_NANOS < this.leavingSince, "no-new-work-when-leaving", name());
		call.starts();
		boolean once = call.call().getMethod().equals("POST");
		String key = once ? call.call().getBody().toStringUtf8() : "";
		this.runner.run(number, call.call().getRequestId(), key, call.listener(number));
	}

	/**
	 * Hears that a call's answer has begun.
	 */
	void answered(long number) {
		hear(new AgentEvent.ResponseStarted(number));
	}

	/**
	 * Hears that a started call is over.
	 */
	void over(long number, boolean foreign) {
		this.calls.remove(number);
		if (foreign) {
			hear(new AgentEvent.WrongWeightsDetected());
		}
		hear(new AgentEvent.CallEnded(number));
	}

	SoakLedger ledger() {
		return this.world.ledger();
	}

	private void order(AgentEffect.SendOrder order) {
		if (this.time.now() > order.notAfterNanos()) {
			hear(new AgentEvent.OrderLeaseExpired());
			return;
		}
		this.time.soon(() -> {
			boolean taken = this.runner.order(order);
			boolean lost = this.time.chance(0.05);
			AgentEvent answer = taken ? new AgentEvent.OrderAccepted() : new AgentEvent.OrderFenced();
			this.time.soon(() -> hear(lost ? new AgentEvent.OrderUnconfirmed() : answer));
		});
	}

	private void fetchWeights(AgentEffect.FetchWeights weights) {
		long needed = this.time.between(VirtualTime.SECOND / 2, 5 * VirtualTime.SECOND);
		String digest = weights.weightsDigest();
		AgentEvent result = this.time.chance(0.05) ? new AgentEvent.WeightsFetchFailed(digest, "origin-unavailable")
				: new AgentEvent.WeightsFetched(digest);
		this.time.after(needed, () -> hear(result));
	}

	private void fetchBundle(String digest) {
		List<SoakLink.Side> known = this.entries.keySet().stream().toList();
		if (!known.isEmpty() && this.time.chance(0.7)) {
			known.getFirst().send(frame().setBundleRequest(BundleRequest.newBuilder().setDigest(digest)).build());
			this.time.after(VirtualTime.SECOND, () -> hear(new AgentEvent.BundleUnavailable(digest)));
			return;
		}
		Platform platform = this.world.platform();
		platform.get("bundles/" + digest)
			.thenCombine(platform.list("approvals/" + digest + "/"),
					(content, approvals) -> this.world.operators().arrived(digest, content, approvals))
			.exceptionally((failure) -> new AgentEvent.BundleUnavailable(digest))
			.thenAccept(this::hear);
	}

	private void read(String key) {
		long sent = this.time.now();
		this.world.platform().get(key).whenComplete((stored, failure) -> {
			if (failure != null) {
				hear(new AgentEvent.ObjectReadFailed(key));
				return;
			}
			hear(new AgentEvent.ObjectRead(key, stored.map((one) -> new StoredObject(one.value(), one.version())),
					sent));
		});
	}

	private void write(AgentEffect.WriteObject write) {
		Platform.Expected expected = expected(write.expectedVersion());
		this.world.platform().put(write.key(), write.value(), expected).whenComplete((result, failure) -> {
			if (failure instanceof CodedException) {
				hear(new AgentEvent.ObjectWriteUnconfirmed(write.key()));
				return;
			}
			hear(switch (result) {
				case Platform.PutResult.Written written -> new AgentEvent.ObjectWritten(write.key(), written.version());
				case Platform.PutResult.Conflict conflict -> new AgentEvent.ObjectWriteConflict(write.key());
			});
		});
	}

	private static Platform.Expected expected(long version) {
		if (version == AgentEffect.WriteObject.ANY_VERSION) {
			return new Platform.Expected.Anything();
		}
		if (version == AgentEffect.WriteObject.ABSENT) {
			return new Platform.Expected.Absent();
		}
		return new Platform.Expected.Version(version);
	}

}
