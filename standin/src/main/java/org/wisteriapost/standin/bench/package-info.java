/**
 * Benchmarks, each a command of {@code scripts/bench} that registers with the service
 * loader.
 */
package org.wisteriapost.standin.bench;
