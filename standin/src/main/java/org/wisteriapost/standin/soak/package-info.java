/**
 * Long seeded random runs: the real state of entries and agents in virtual time, with
 * fakes at the interfaces and faults of every kind. One seed is one run.
 */
package org.wisteriapost.standin.soak;
