package org.wisteriapost.protocol.site;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a caller's request says of itself beside method, path and body.
 *
 * @param attempt names this attempt; answers carry it
 * @param remainingMillis how long the caller will wait
 * @param promptTokens tokens to read; 0 when unknown
 * @param maxAnswerTokens the most tokens to write; 0 when unknown
 * @param likelyAnswerTokens the caller's estimate of the tokens to write
 * @param prompt names the parts of the prompt; equal for all attempts of one request
 * @param lastEvent the last event that the caller has, when it resumes a stream
 */
public record CallerFields(Optional<String> attempt, OptionalLong remainingMillis, int promptTokens,
		int maxAnswerTokens, OptionalInt likelyAnswerTokens, Optional<String> prompt, Optional<String> lastEvent) {
}
