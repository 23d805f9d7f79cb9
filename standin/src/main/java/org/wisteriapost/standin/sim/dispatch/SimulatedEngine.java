package org.wisteriapost.standin.sim.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import org.wisteriapost.policy.routing.EngineSpec;
import org.wisteriapost.standin.sim.EventQueue;

/**
 * A simulated model engine with continuous batching.
 *
 * It works in passes: each prefills up to one chunk of prompts and runs a stride of
 * decode steps for the sequences whose prompt is complete. Requests beyond its slots wait
 * by rank, then in order of arrival.
 */
final class SimulatedEngine {

	private final String name;

	private final String failureDomain;

	private final EngineProfile profile;

	private final EventQueue events;

	private final PriorityQueue<Run> waiting = new PriorityQueue<>(
			Comparator.comparingInt((Run run) -> run.rank).thenComparingLong((run) -> run.sequence));

	private final List<Run> running = new ArrayList<>();

	private boolean reachable = true;

	private boolean accepting = true;

	private boolean inPass;

	// Factor by which passes that start now take longer than declared.
	private double pace = 1;

	private long lastSequence;

	// Passes of an earlier incarnation end without effect.
	private int incarnation;

	private Runnable drained = () -> {
	};

	SimulatedEngine(String name, String failureDomain, EngineProfile profile, EventQueue events) {
		this.name = name;
		this.failureDomain = failureDomain;
		this.profile = profile;
		this.events = events;
	}

	String name() {
		return this.name;
	}

	String failureDomain() {
		return this.failureDomain;
	}

	/**
	 * Adds a request and returns whether it was accepted.
	 */
	boolean submit(Run run) {
		if (!this.accepting || this.waiting.size() >= this.profile.queue()) {
			return false;
		}
		run.sequence = ++this.lastSequence;
		this.waiting.add(run);
		startPass();
		return true;
	}

	void cancel(Run run) {
		this.waiting.remove(run);
		this.running.remove(run);
		reportDrained();
	}

	/**
	 * Accepts no requests until {@link #open} and completes those that it has.
	 * @param onDrained called once no request is left
	 */
	void drain(Runnable onDrained) {
		this.accepting = false;
		this.drained = onDrained;
		reportDrained();
	}

	void open() {
		this.accepting = true;
	}

	/**
	 * Stops the engine. The requests that it had are lost.
	 */
	void crash() {
		this.reachable = false;
		this.accepting = false;
		this.incarnation++;
		this.inPass = false;
		List<Run> lost = new ArrayList<>(this.running);
		lost.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		lost.forEach((run) -> run.listener.lost());
	}

	void restart() {
		this.reachable = true;
		open();
	}

	void pace(double now) {
		this.pace = now;
	}

	boolean reachable() {
		return this.reachable;
	}

	private void reportDrained() {
		if (!this.accepting && this.running.isEmpty() && this.waiting.isEmpty()) {
			Runnable report = this.drained;
			this.drained = () -> {
			};
			report.run();
		}
	}

	private void startPass() {
		while (!this.waiting.isEmpty() && this.running.size() < this.profile.spec().slots()) {
			this.running.add(this.waiting.poll());
		}
		if (this.inPass || this.running.isEmpty()) {
			return;
		}
		this.inPass = true;
		List<Run> decoding = this.running.stream().filter((run) -> run.promptTokens == 0).toList();
		double millis = this.pace * (prefillMillis() + decodeMillis(decoding));
		int started = this.incarnation;
		this.events.schedule((long) (millis * Duration.ofMillis(1).toNanos()), () -> {
			if (started == this.incarnation) {
				endPass(decoding);
			}
		});
	}

	private double prefillMillis() {
		EngineSpec spec = this.profile.spec();
		int budget = spec.maxPrefillTokensPerPass();
		for (Run run : this.running) {
			int tokens = Math.min(run.promptTokens, budget);
			run.promptTokens -= tokens;
			budget -= tokens;
		}
		return (spec.maxPrefillTokensPerPass() - budget) / spec.prefillTokensPerMilli();
	}

	private double decodeMillis(List<Run> decoding) {
		EngineSpec spec = this.profile.spec();
		if (decoding.isEmpty()) {
			return 0;
		}
		double step = spec.stepMillis() + decoding.size() * spec.stepMillisPerDecodingRequest();
		return spec.stepsPerPass() * step;
	}

	private void endPass(List<Run> decoding) {
		this.inPass = false;
		for (Run run : decoding) {
			if (this.running.contains(run)) {
				run.answerTokens -= this.profile.spec().stepsPerPass();
				boolean last = run.answerTokens <= 0;
				if (last) {
					this.running.remove(run);
				}
				run.listener.event(last);
			}
		}
		startPass();
		reportDrained();
	}

	/** Receives the events of one request. */
	interface Listener {

		void event(boolean last);

		void lost();

	}

	/** One request at the engine. */
	static final class Run {

		private final int rank;

		private final Listener listener;

		private int promptTokens;

		private int answerTokens;

		private long sequence;

		Run(int rank, int promptTokens, int answerTokens, Listener listener) {
			this.rank = rank;
			this.promptTokens = promptTokens;
			this.answerTokens = answerTokens;
			this.listener = listener;
		}

	}

}
