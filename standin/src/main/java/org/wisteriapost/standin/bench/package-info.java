/**
 * Benchmarks, each a command of {@code scripts/bench} found by the service loader.
 */
package org.wisteriapost.standin.bench;
