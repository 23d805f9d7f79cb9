/**
 * How fast weights reach N VMs, and at what cost: in virtual time and over loopback.
 */
package org.wisteriapost.standin.bench.weights;
