package org.wisteriapost.policy.dispatch;

import org.wisteriapost.policy.routing.EngineSpec;

/**
 * Predicts when a request's first event would come out of an engine.
 *
 * Load: engines near or over saturation, where every request more makes the first events
 * of all that wait later. Harm prevented: a spread by count alone puts a short prompt
 * behind several long ones.
 *
 * An engine works in passes: it reads up to a chunk of waiting prompts, then runs a
 * stride of token steps for all that write. A first event comes at the end of the pass in
 * which its prompt was read whole.
 */
final class EngineForecast {

	private static final double HALF = 0.5;

	private static final double THOUSAND = 1000;

	private static final double MILLION = 1_000_000;

	private EngineForecast() {
	}

	/**
	 * Returns the milliseconds to the first event.
	 * @param load what the engine has in flight
	 * @param prompt tokens of the new request
	 */
	static double firstEventMillis(EngineSpec engine, PeerLoad load, int prompt) {
		int writers = Math.clamp(load.active() - load.waiting(), 0, engine.slots());
		double step = stepMillis(engine, writers);
		double write = (writers > 0) ? engine.stride() * step : 0;
		long tokens = load.waitingPrompt() + prompt;
		double passes = Math.ceil((double) tokens / engine.chunkTokens());
		double read = tokens / engine.readTokensPerMilli() + pairMillis(engine, load, prompt);
		double underWay = HALF * write;
		double ahead = slotWaitMillis(engine, load);
		return ahead + underWay + read + passes * write + engine.stride() * stepMillis(engine, writers + 1);
	}

	/**
	 * Returns the milliseconds from the first event to the last.
	 *
	 * Between two events of a stream the engine reads part of the prompts that came
	 * meanwhile. In an engine that is about to change weights ever fewer come, so half of
	 * what a busy engine reads is counted.
	 * @param tokens of the answer
	 */
	static double answerMillis(EngineSpec engine, PeerLoad load, int tokens) {
		int writers = Math.clamp(load.active() + 1, 1, engine.slots());
		double reading = HALF * writers * engine.usualPrompt() / engine.readTokensPerMilli();
		double passes = (double) tokens / engine.stride();
		double usualPasses = Math.max(1, (double) engine.usualAnswer() / engine.stride());
		return passes * (engine.stride() * stepMillis(engine, writers) + reading / usualPasses);
	}

	/**
	 * Returns the time of one token step.
	 */
	static double stepMillis(EngineSpec engine, int writers) {
		double context = writers * (engine.usualPrompt() + HALF * engine.usualAnswer()) / THOUSAND;
		return engine.stepMillis() + engine.stepMillisPerWriter() * writers
				+ engine.stepMillisPerThousandTokens() * context;
	}

	/**
	 * Returns how long a usual request holds its slot in an engine whose slots are all
	 * taken: its own reading and writing, and the reading for those that come after it.
	 */
	static double residenceMillis(EngineSpec engine) {
		double step = stepMillis(engine, engine.slots());
		double write = engine.usualAnswer() * step;
		double read = engine.usualPrompt() / engine.readTokensPerMilli();
		return write + engine.slots() * read;
	}

	/**
	 * Returns how long a new request waits for a slot, as part of the whole.
	 */
	static double slotWaitMillis(EngineSpec engine, PeerLoad load) {
		int over = load.active() + 1 - engine.slots();
		if (over <= 0) {
			return 0;
		}
		return over * residenceMillis(engine) / engine.slots();
	}

	private static double pairMillis(EngineSpec engine, PeerLoad load, int prompt) {
		double mean = (load.waiting() > 0) ? (double) load.waitingPrompt() / load.waiting() : 0;
		double pairs = HALF * ((double) prompt * prompt + load.waiting() * mean * mean);
		return engine.readMillisPerMillionPairs() * pairs / MILLION;
	}

}
