/**
 * Seeded simulation of request handling under load: the production decision code against
 * simulated runners in virtual time, without sockets or clocks.
 */
package org.wisteriapost.standin.sim;
