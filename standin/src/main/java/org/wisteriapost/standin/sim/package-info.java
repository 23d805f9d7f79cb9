/**
 * Requests, entries and runners in virtual time: the real decision code against simulated
 * runners, from a seed, without sockets or clocks.
 */
package org.wisteriapost.standin.sim;
