/**
 * The agent on each endpoint VM: fetches weights, orders the engine to load them, and
 * forwards calls from entries to the runner.
 */
package org.wisteriapost.agent;
