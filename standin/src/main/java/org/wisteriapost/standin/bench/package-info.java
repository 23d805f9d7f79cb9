/**
 * Measurements and experiments, one for each first word of {@code scripts/bench}.
 */
package org.wisteriapost.standin.bench;
