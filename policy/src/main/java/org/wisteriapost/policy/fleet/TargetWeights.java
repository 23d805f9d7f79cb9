package org.wisteriapost.policy.fleet;

/**
 * The target version of a model's weights, which all its runners are to serve. It only
 * increases.
 *
 * @param model the model's name
 * @param version counts from 1
 */
public record TargetWeights(String model, int version) {
}
