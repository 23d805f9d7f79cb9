package org.wisteriapost.policy.routing;

/**
 * The declared speed and size of a model engine.
 *
 * @param slots requests that it processes at once
 * @param kvTokens tokens that fit into its memory for requests
 * @param stride token steps in one pass that has writers
 * @param stepMillis time of one token step
 * @param stepMillisPerWriter more for each request that is writing
 * @param stepMillisPerThousandTokens more for each thousand tokens of context
 * @param readTokensPerMilli prompt tokens read in one millisecond
 * @param readMillisPerMillionPairs more for each million pairs of a token and an earlier
 * one
 * @param chunkTokens the most prompt tokens read in one pass
 * @param usualPrompt mean prompt tokens
 * @param usualAnswer mean answer tokens
 * @param model the model that it serves
 * @param warmupMillis time to take new weights once they are there
 */
public record EngineSpec(int slots, long kvTokens, int stride, double stepMillis, double stepMillisPerWriter,
		double stepMillisPerThousandTokens, double readTokensPerMilli, double readMillisPerMillionPairs,
		int chunkTokens, int usualPrompt, int usualAnswer, String model, double warmupMillis) {
}
