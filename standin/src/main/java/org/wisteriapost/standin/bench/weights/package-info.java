/**
 * Benchmarks of weight distribution to N VMs, its duration and its cost, in virtual time
 * and over loopback.
 */
package org.wisteriapost.standin.bench.weights;
