package org.wisteriapost.policy.fleet;

/**
 * The version of a model's weights that all its runners are to serve. Versions only move
 * up.
 *
 * @param model its name
 * @param version counts from 1
 */
public record NamedWeights(String model, int version) {
}
